/** Simulates several membership state machines over an in-memory message queue. */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toVmId, VmId} from '@radishyoke/shared/ids';
import type {ConfigTransfer} from '../rules/config_history.js';
import type {GossipMessage} from '../membership/gossip_message.js';
import type {Member} from '../membership/member.js';
import {Membership} from '../membership/membership.js';
import type {
  MembershipAction,
  MembershipEvent,
} from '../membership/membership_message.js';
import {
  createRandomBits,
  pickRandomBelow,
  RandomBits,
} from '../scheduling/random_bits.js';

const TICK_MS = 100;

/** Creates a transfer that represents all records before offset `next`. */
function createTransfer(next: number): ConfigTransfer {
  const clock = {nowMs: 0, lastRawMs: 0};
  return {kind: 'snapshot', snapshot: {next, clock, writers: [], teams: []}};
}

function readTransfer(transfer: ConfigTransfer): number {
  return transfer.kind === 'snapshot' ? transfer.snapshot.next : 0;
}

interface Delivery {
  readonly atMs: number;
  readonly to: VmId;
  readonly event: MembershipEvent;
}

export interface Node {
  readonly vm: VmInfo;
  machine: Membership;
  isUp: boolean;
  pausedUntilMs: number;
  /** Events that arrived during a pause, to be handled when it ends. */
  readonly queuedEvents: MembershipEvent[];
  configNext: number;
  vms: readonly VmId[];
  /** Actions that the network only records. */
  readonly otherActions: MembershipAction[];
  /** Messages sent so far. */
  sentCount: number;
}

export interface NetworkOptions {
  readonly vms: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Share of messages lost, in percent. */
  readonly lossPercent?: number;
}

export class MembershipNetwork {
  nowMs = 1_000_000;
  readonly nodes: readonly Node[];
  /** Directed pairs whose open connection loses all messages until it is reopened. */
  readonly silentConnections = new Set<string>();
  /** Whether messages from `a` can reach `b` at all. */
  canReach: (a: VmInfo, b: VmInfo) => boolean = () => true;
  /** Called with each message that is sent. */
  onMessage: (message: GossipMessage) => void = () => undefined;
  private readonly random: RandomBits;
  private readonly byId: ReadonlyMap<VmId, Node>;
  private queue: Delivery[][] = [];

  constructor(private readonly options: NetworkOptions) {
    this.random = createRandomBits(options.seed);
    const vms = Array.from({length: options.vms}, (_, i) => this.createVm(i));
    this.nodes = vms.map(vm => this.createNode(vm));
    this.byId = new Map(this.nodes.map(node => [node.vm.id, node]));
    for (const node of this.nodes)
      this.handleEvent(node, {kind: 'vm_list', vms});
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs++) this.runMillisecond();
  }

  handleEvent(node: Node, event: MembershipEvent): void {
    if (!node.isUp) return;
    const actions = node.machine.handle(event, this.nowMs);
    for (const action of actions) this.perform(node, action);
  }

  restart(node: Node): void {
    node.machine = this.createMachine(node.vm);
    node.isUp = true;
    node.configNext = 0;
    const vms = this.nodes.map(other => other.vm);
    this.handleEvent(node, {kind: 'vm_list', vms});
  }

  /** Silences this share of the open connections, each in one direction. */
  silenceConnections(percent: number): void {
    for (const a of this.nodes) {
      for (const b of a.machine.listNeighbours()) {
        if (pickRandomBelow(this.random, 100) < percent)
          this.silentConnections.add(`${a.vm.id}>${b}`);
      }
    }
  }

  private runMillisecond(): void {
    const due = this.queue[this.nowMs % this.queue.length];
    if (due) {
      this.queue[this.nowMs % this.queue.length] = [];
      for (const {to, event} of due) this.deliver(this.byId.get(to)!, event);
    }
    for (let i = this.nowMs % TICK_MS; i < this.nodes.length; i += TICK_MS) {
      this.deliverQueuedEvents(this.nodes[i]);
      this.deliver(this.nodes[i], {kind: 'tick'});
    }
  }

  private deliverQueuedEvents(node: Node): void {
    if (this.nowMs < node.pausedUntilMs) return;
    for (const event of node.queuedEvents.splice(0))
      this.handleEvent(node, event);
  }

  private deliver(node: Node, event: MembershipEvent): void {
    if (this.nowMs >= node.pausedUntilMs) return this.handleEvent(node, event);
    if (event.kind !== 'tick') node.queuedEvents.push(event);
  }

  private perform(node: Node, action: MembershipAction): void {
    switch (action.kind) {
      case 'send':
        return this.send(node, action.to, action.message);
      case 'relink':
        this.silentConnections.delete(`${node.vm.id}>${action.vm}`);
        this.silentConnections.delete(`${action.vm}>${node.vm.id}`);
        return;
      case 'vms':
        node.vms = action.vms;
        return;
      case 'serve_config': {
        const {to} = action;
        const transfer = createTransfer(node.configNext);
        return this.handleEvent(node, {kind: 'config_read', to, transfer});
      }
      case 'config_transfer': {
        const next = readTransfer(action.transfer);
        if (next <= node.configNext) return;
        node.configNext = next;
        return this.handleEvent(node, {kind: 'config_offset', next});
      }
      default:
        node.otherActions.push(action);
    }
  }

  private send(from: Node, to: VmId, message: GossipMessage): void {
    from.sentCount++;
    this.onMessage(message);
    const target = this.byId.get(to)!;
    if (!this.canReach(from.vm, target.vm)) return;
    if (this.silentConnections.has(`${from.vm.id}>${to}`)) return;
    if (pickRandomBelow(this.random, 100) < (this.options.lossPercent ?? 0))
      return;
    const isRemote = from.vm.dataCentre !== target.vm.dataCentre;
    const delayMs = 1 + pickRandomBelow(this.random, isRemote ? 40 : 3);
    const slot = (this.nowMs + delayMs) % this.queue.length;
    const atMs = this.nowMs + delayMs;
    const event = {kind: 'message', from: from.vm.id, message} as const;
    this.queue[slot].push({atMs, to, event});
  }

  private createVm(index: number): VmInfo {
    return {
      id: toVmId(`vm-${index}`),
      peerAddress: `10.0.0.${index}:1`,
      callerAddress: `10.0.0.${index}:2`,
      dataCentre: toDataCentreId(`dc-${index % this.options.dataCentres}`),
      state: 'live',
    };
  }

  private createMachine(vm: VmInfo): Membership {
    const {id, peerAddress, callerAddress, dataCentre} = vm;
    const self: Member = {
      id,
      peerAddress,
      callerAddress,
      dataCentre,
      incarnation: this.nowMs,
      state: 'alive',
    };
    return new Membership({self, seeds: []}, this.random(), this.nowMs);
  }

  private createNode(vm: VmInfo): Node {
    if (this.queue.length === 0) {
      this.queue = Array.from({length: 64}, () => []);
    }
    return {
      vm,
      machine: this.createMachine(vm),
      isUp: true,
      pausedUntilMs: 0,
      queuedEvents: [],
      configNext: 0,
      vms: [],
      otherActions: [],
      sentCount: 0,
    };
  }
}
