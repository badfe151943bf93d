/**
 * Gossip membership: which VMs are alive, and the updates they exchange.
 *
 * A state machine with events as input and actions as output, without I/O or a
 * clock. Each VM probes a bounded set of neighbours. A VM that does not answer
 * is probed on a new connection, then by other VMs, is then suspected and
 * finally failed; it refutes a suspicion with a higher incarnation. Load,
 * crashes, silent endpoints and config offsets are carried by the same
 * messages.
 */

import type {VmId} from '@radishyoke/shared/ids';
import {ConfigCatchUp} from '../rules/config_catch_up.js';
import {
  createRandomBits,
  pickRandomBelow,
  pickRandomItems,
  RandomBits,
} from '../scheduling/random_bits.js';
import type {Contact, ProbeStep} from './contact.js';
import {ContactTable} from './contact_table.js';
import {MemberDirectory} from './member_directory.js';
import type {GossipMessage, GossipPayload, Rumour} from './gossip_message.js';
import {applyLoadDelta, InFlight} from './load_delta.js';
import {isServing, Member, supersedes} from './member.js';
import type {
  MembershipAction,
  MembershipConfig,
  MembershipEvent,
} from './membership_message.js';
import {MEMBERSHIP_LIMITS, MEMBERSHIP_TIMING} from './membership_timing.js';
import {RelayTable} from './relay_table.js';
import {RumourFilter} from './rumour_filter.js';

/** One in this many messages without rumours carries a random belief. */
const FILLER_INTERVAL = 4;

export class Membership {
  private self: Member;
  private readonly directory: MemberDirectory;
  private readonly contacts: ContactTable;
  private readonly rumours = new RumourFilter();
  private readonly relays = new RelayTable();
  private readonly configs = new ConfigCatchUp();
  private readonly random: RandomBits;
  private inFlight: InFlight = new Map();
  private isServingStale = true;
  private lastServingKey = '';
  private seq = 0;
  private nextSeedIndex = 0;
  private isOffsetPending = false;
  private hasUrgentUpdates = false;
  private wantsMembers = true;
  private lastTickMs: number;
  private lastReceivedMs: number;
  private nextDialAtMs: number;
  private nextFailedProbeAtMs: number;
  private nextAnnounceAtMs = 0;
  private actions: MembershipAction[] = [];

  /** `seed` is random bits; equal seeds and events produce equal actions. */
  constructor(
    private readonly cfg: MembershipConfig,
    seed: number,
    nowMs: number,
  ) {
    this.self = cfg.self;
    this.directory = new MemberDirectory(cfg.self.id);
    this.contacts = new ContactTable(cfg.self.id);
    this.random = createRandomBits(seed);
    this.lastTickMs = nowMs;
    this.lastReceivedMs = nowMs;
    this.nextDialAtMs = nowMs;
    this.nextFailedProbeAtMs = nowMs + MEMBERSHIP_TIMING.probeFailedEveryMs;
  }

  /**
   * Handles one event at `nowMs` (Unix ms) and returns the resulting actions in
   * order.
   */
  handle(event: MembershipEvent, nowMs: number): readonly MembershipAction[] {
    this.actions = [];
    this.apply(event, nowMs);
    this.emitServing();
    return this.actions;
  }

  /** Returns all VMs in the directory and this VM, which comes first. */
  listMembers(): readonly Member[] {
    return [this.self, ...this.directory.list()];
  }

  listNeighbours(): readonly VmId[] {
    return this.contacts.neighbours;
  }

  private apply(event: MembershipEvent, nowMs: number): void {
    switch (event.kind) {
      case 'tick':
        return this.tick(nowMs);
      case 'message':
        return this.receive(event.from, event.message, nowMs);
      case 'linked':
        this.merge(event.member, nowMs);
        return this.contacts.get(event.member.id)?.resetConnection(nowMs);
      case 'vm_list':
        for (const member of this.directory.applyVmList(event.vms, nowMs)) {
          this.onMemberChange(member);
        }
        return;
      case 'own_load':
        this.inFlight = event.inFlight;
        return;
      case 'own_suspects':
        for (const fingerprint of event.fingerprints) {
          this.spreadIfNew({kind: 'suspect_request', fingerprint});
        }
        return;
      case 'own_silent_endpoint': {
        const {endpoint} = event;
        this.spreadIfNew({kind: 'silent_endpoint', endpoint, seenAtMs: nowMs});
        return;
      }
      case 'config_offset':
        if (this.configs.advance(event.next)) this.isOffsetPending = true;
        return this.announceIfDue(nowMs);
      case 'config_read': {
        const {to, transfer} = event;
        return this.send(to, {kind: 'config_transfer', transfer});
      }
      case 'leave':
        return this.leave(nowMs);
    }
  }

  private tick(nowMs: number): void {
    if (nowMs - this.lastTickMs > MEMBERSHIP_TIMING.pausedAfterMs) {
      this.recoverFromPause(nowMs);
    }
    this.lastTickMs = nowMs;
    this.contacts.refresh(this.self, () => this.directory.list(), nowMs);
    for (const id of this.contacts.neighbours) this.probe(id, nowMs);
    this.failSuspects(nowMs);
    this.probeFailedMember(nowMs);
    this.dialSeeds(nowMs);
    this.requestConfig(nowMs);
    this.announceIfDue(nowMs);
  }

  /**
   * Restarts all probes after a pause of this VM. Answers may have arrived that
   * it has not read yet, and without the restart it would declare live
   * neighbours failed because of its own pause.
   */
  private recoverFromPause(nowMs: number): void {
    this.contacts.restartProbes(nowMs);
    this.directory.restartSuspicions(nowMs);
    this.lastReceivedMs = nowMs;
  }

  private probe(id: VmId, nowMs: number): void {
    const contact = this.contacts.getOrCreate(id, nowMs);
    const step = contact?.advanceProbe(nowMs);
    if (!contact || !step) return;
    this.performProbeStep(id, step, nowMs);
    if (step !== 'suspect') this.ping(id, nowMs);
  }

  private performProbeStep(id: VmId, step: ProbeStep, nowMs: number): void {
    switch (step) {
      case 'ping':
        return;
      case 'relink':
      case 'retry':
        this.actions.push({kind: 'relink', vm: id});
        return;
      case 'indirect':
        return this.requestIndirectProbes(id);
      case 'suspect':
        return this.suspect(id, nowMs);
    }
  }

  private requestIndirectProbes(target: VmId): void {
    const address = this.directory.get(target)!.peerAddress;
    const others = this.contacts.neighbours.filter(id => id !== target);
    const helpers = pickRandomItems(
      this.random,
      others,
      MEMBERSHIP_LIMITS.helpers,
    );
    for (const helper of helpers) {
      this.send(helper, {kind: 'probe_request', target, address});
    }
  }

  private suspect(id: VmId, nowMs: number): void {
    const member = this.directory.get(id);
    if (!member) return;
    // A VM that announced its leaving and then stops answering has left.
    const state = member.state === 'leaving' ? 'failed' : 'suspect';
    this.merge({...member, state}, nowMs);
  }

  private failSuspects(nowMs: number): void {
    const timing = MEMBERSHIP_TIMING;
    const silentMs = nowMs - this.lastReceivedMs;
    // To a VM that is cut off, all other VMs seem silent. If it failed them, it
    // would claim the complete capacity of the service and send each endpoint
    // the load of all VMs.
    const isIsolated = silentMs > timing.isolatedAfterMs;
    const waitMs = isIsolated ? timing.failAfterIsolatedMs : timing.failAfterMs;
    for (const member of this.directory.listSuspectedSince(nowMs - waitMs)) {
      this.merge({...member, state: 'failed'}, nowMs);
    }
  }

  /** Probes one failed VM at intervals, to detect the end of a partition. */
  private probeFailedMember(nowMs: number): void {
    if (nowMs < this.nextFailedProbeAtMs) return;
    this.nextFailedProbeAtMs = nowMs + MEMBERSHIP_TIMING.probeFailedEveryMs;
    this.directory.dropFailed(nowMs - MEMBERSHIP_TIMING.dropFailedAfterMs);
    const failed = this.directory.list().filter(m => m.state === 'failed');
    for (const {id} of pickRandomItems(this.random, failed, 1))
      this.ping(id, nowMs);
  }

  private dialSeeds(nowMs: number): void {
    const {seeds} = this.cfg;
    if (nowMs < this.nextDialAtMs || seeds.length === 0) return;
    this.nextDialAtMs = nowMs + MEMBERSHIP_TIMING.dialEveryMs;
    if (this.directory.hasConfirmedMember()) return;
    const address = seeds[this.nextSeedIndex++ % seeds.length];
    if (address !== this.self.peerAddress) {
      this.actions.push({kind: 'dial', address});
    }
  }

  private receive(from: VmId, message: GossipMessage, nowMs: number): void {
    this.lastReceivedMs = nowMs;
    this.contacts.getOrCreate(from, nowMs)?.recordMessage(nowMs);
    this.reportRelayedProbe(from, nowMs);
    switch (message.kind) {
      case 'ping':
        this.applyPayload(from, message.payload, nowMs);
        return this.acknowledge(from, message, nowMs);
      case 'ack':
        return this.applyPayload(from, message.payload, nowMs);
      case 'probe_request':
        return this.relayProbe(from, message.target, nowMs);
      case 'probe_heard':
        return this.contacts.get(message.target)?.recordMessage(nowMs);
      case 'members':
        this.wantsMembers = false;
        for (const member of message.members) this.merge(member, nowMs);
        return;
      case 'config_request': {
        const {from: offset} = message;
        this.actions.push({kind: 'serve_config', to: from, from: offset});
        return;
      }
      case 'config_transfer':
        this.actions.push(message);
        return;
    }
  }

  private acknowledge(
    to: VmId,
    message: GossipMessage & {kind: 'ping'},
    nowMs: number,
  ): void {
    const payload = this.buildPayload(to, nowMs);
    this.send(to, {kind: 'ack', seq: message.seq, payload});
    if (!message.payload.wantsMembers) return;
    const members = this.directory.list().filter(m => m.state !== 'failed');
    for (let i = 0; i < members.length;) {
      const end = i + MEMBERSHIP_LIMITS.membersPerMessage;
      this.send(to, {kind: 'members', members: members.slice(i, end)});
      i = end;
    }
  }

  private applyPayload(
    from: VmId,
    payload: GossipPayload,
    nowMs: number,
  ): void {
    if (payload.self) this.merge(payload.self, nowMs);
    for (const rumour of payload.rumours) {
      this.applyRumour(rumour, from, nowMs);
    }
    const contact = this.contacts.getOrCreate(from, nowMs);
    if (!contact) return;
    contact.recordPayload(nowMs);
    contact.configNext = payload.configNext;
    if (payload.load) {
      contact.peerInFlight = applyLoadDelta(contact.peerInFlight, payload.load);
      const inFlight = contact.peerInFlight;
      this.actions.push({kind: 'peer_load', vm: from, inFlight});
    }
    if (this.configs.recordPeerNext(payload.configNext)) {
      this.actions.push({kind: 'config_seen', next: payload.configNext});
    }
    this.requestConfig(nowMs);
  }

  private applyRumour(rumour: Rumour, from: VmId, nowMs: number): void {
    if (rumour.kind === 'member') {
      this.sendCorrection(rumour.member, from);
      this.merge(rumour.member, nowMs, from);
      return;
    }
    if (!this.spreadIfNew(rumour, from)) return;
    if (rumour.kind === 'suspect_request') {
      const fingerprints = [rumour.fingerprint];
      this.actions.push({kind: 'suspects', fingerprints});
      return;
    }
    this.actions.push({kind: 'silent_endpoint', endpoint: rumour.endpoint});
  }

  /**
   * Sends the current belief to a VM that reported an older one. Otherwise VMs
   * that have a VM only from the VM list would fail it among themselves, while
   * VMs with a newer belief about it would never receive the failure.
   */
  private sendCorrection(update: Member, source: VmId): void {
    const current = this.directory.get(update.id);
    if (!current || current.incarnation <= update.incarnation) return;
    const rumour = {kind: 'member', member: current} as const;
    this.contacts.get(source)?.outbox.add(rumour);
  }

  /** Spreads a rumour that is not about a VM; returns whether it was new. */
  private spreadIfNew(rumour: Rumour, source?: VmId): boolean {
    if (!this.rumours.recordIfNew(rumour)) return false;
    // The warning must spread faster than a resent request that crashes
    // endpoints.
    this.hasUrgentUpdates = true;
    this.contacts.queueRumour(rumour, source);
    return true;
  }

  private merge(update: Member, nowMs: number, source?: VmId): void {
    if (update.id === this.self.id) return this.refute(update);
    const previous = this.directory.get(update.id);
    const result = this.directory.merge(update, nowMs);
    if (result === 'ignored') return;
    // First contact with a VM on the VM list is not worth spreading.
    const isFirstContact =
      previous?.incarnation === 0 && result === 'refreshed';
    if (!isFirstContact)
      this.contacts.queueRumour({kind: 'member', member: update}, source);
    if (result === 'changed') this.onMemberChange(update);
  }

  /**
   * Refutes a wrong belief about this VM: that it has failed, as after a pause,
   * or one about an earlier process with a higher incarnation, as after its
   * clock was set back. Only this VM may raise its incarnation, which overrides
   * both.
   */
  private refute(update: Member): void {
    if (!supersedes(update, this.self)) return;
    this.self = {...this.self, incarnation: update.incarnation + 1};
    this.hasUrgentUpdates = true;
    this.contacts.queueRumour({kind: 'member', member: this.self});
  }

  private onMemberChange(member: Member): void {
    this.contacts.markNeighboursStale();
    this.isServingStale = true;
    if (member.state !== 'alive') this.hasUrgentUpdates = true;
    if (member.state !== 'failed') return;
    const contact = this.contacts.remove(member.id);
    if (!contact || contact.peerInFlight.size === 0) return;
    const inFlight: InFlight = new Map();
    this.actions.push({kind: 'peer_load', vm: member.id, inFlight});
  }

  private relayProbe(requester: VmId, target: VmId, nowMs: number): void {
    this.relays.add(requester, target, nowMs);
    this.ping(target, nowMs);
  }

  private reportRelayedProbe(target: VmId, nowMs: number): void {
    const requester = this.relays.takeRequester(target, nowMs);
    if (!requester) return;
    this.send(requester, {kind: 'probe_heard', target});
  }

  private requestConfig(nowMs: number): void {
    const from = this.configs.ownNext();
    if (this.configs.highestSeenNext() <= from) return;
    const ahead = this.contacts.listWithConfigPast(from);
    const source = this.configs.chooseSource(ahead, nowMs);
    if (source) this.send(source, {kind: 'config_request', from});
  }

  /** Sends urgent updates at once instead of waiting for the next probe. */
  private announceIfDue(nowMs: number): void {
    const isDue = this.isOffsetPending || this.hasUrgentUpdates;
    if (!isDue || nowMs < this.nextAnnounceAtMs) return;
    this.nextAnnounceAtMs = nowMs + MEMBERSHIP_TIMING.announceEveryMs;
    const next = this.configs.ownNext();
    for (const [id, contact] of this.contacts.entries()) {
      const isBehind = this.isOffsetPending && contact.configNext < next;
      if (this.hasUrgentUpdates || isBehind) this.ping(id, nowMs);
    }
    this.isOffsetPending = false;
    this.hasUrgentUpdates = false;
  }

  private leave(nowMs: number): void {
    if (this.self.state === 'leaving') return;
    const incarnation = this.self.incarnation + 1;
    this.self = {...this.self, incarnation, state: 'leaving'};
    this.isServingStale = true;
    this.contacts.queueRumour({kind: 'member', member: this.self});
    this.hasUrgentUpdates = true;
    this.announceIfDue(nowMs);
  }

  private ping(id: VmId, nowMs: number): void {
    const payload = this.buildPayload(id, nowMs);
    this.send(id, {kind: 'ping', seq: ++this.seq, payload});
  }

  private buildPayload(to: VmId, nowMs: number): GossipPayload {
    const contact = this.contacts.getOrCreate(to, nowMs);
    const load = contact?.encoder.encode(this.inFlight, nowMs);
    const self = contact ? contact.takeUnsentSelf(this.self) : this.self;
    return {
      ...(self && {self}),
      rumours: this.chooseRumours(to, contact, nowMs),
      ...(load && {load}),
      configNext: this.configs.ownNext(),
      wantsMembers: this.wantsMembers,
    };
  }

  private chooseRumours(
    to: VmId,
    contact: Contact | undefined,
    nowMs: number,
  ): readonly Rumour[] {
    const pending = contact?.outbox.takeBatch(nowMs) ?? [];
    const recipient = this.directory.get(to);
    // A suspected or failed VM is sent that belief, so that it can refute it.
    const isDoubted =
      recipient?.state === 'suspect' || recipient?.state === 'failed';
    if (isDoubted) return [{kind: 'member', member: recipient}, ...pending];
    const isFillerDue =
      pending.length === 0 && this.seq % FILLER_INTERVAL === 0;
    const filler = isFillerDue ? this.chooseFiller(to) : undefined;
    return filler ? [{kind: 'member', member: filler}] : pending;
  }

  /** Chooses a random belief, which in time repairs any lost update. */
  private chooseFiller(to: VmId): Member | undefined {
    const members = this.directory.list();
    const member = members[pickRandomBelow(this.random, members.length)];
    return member?.id === to ? undefined : member;
  }

  private send(to: VmId, message: GossipMessage): void {
    const member = this.directory.get(to);
    if (!member) return;
    const address = member.peerAddress;
    this.actions.push({kind: 'send', to, address, message});
  }

  private emitServing(): void {
    if (!this.isServingStale) return;
    this.isServingStale = false;
    const vms = this.listMembers()
      .filter(isServing)
      .map(member => member.id)
      .sort();
    const key = vms.join();
    if (key === this.lastServingKey) return;
    this.lastServingKey = key;
    this.actions.push({kind: 'vms', vms});
  }
}
