/**
 * A simple reference model of the stream `state`. It judges each record by
 * searching all earlier records and never drops state.
 */

import type {LoggedRecord, StateRecord} from '@radishyoke/shared/log_record';

type Logged = LoggedRecord<StateRecord>;

/** Verdict on one record, in a form that both models can produce. */
export interface NaiveVerdict {
  readonly accepted: boolean;
  /** Fencing number obtained, or cursors assigned to samples. */
  readonly gains: readonly number[];
}

const VOID: NaiveVerdict = {accepted: false, gains: []};
const ACCEPTED: NaiveVerdict = {accepted: true, gains: []};

/** Judges every record of a stream. */
export function judgeNaively(
  records: readonly Logged[],
  claimHorizonMs: number,
): readonly NaiveVerdict[] {
  const verdicts: NaiveVerdict[] = [];
  for (const record of records) {
    verdicts.push(
      new NaiveJudge(records, verdicts, claimHorizonMs).judge(record),
    );
  }
  return verdicts;
}

class NaiveJudge {
  constructor(
    private readonly records: readonly Logged[],
    private readonly verdicts: readonly NaiveVerdict[],
    private readonly claimHorizonMs: number,
  ) {}

  judge(record: Logged): NaiveVerdict {
    const {value, offset} = record;
    if (this.listBefore(offset).some(r => isCopy(r, record))) return VOID;
    switch (value.kind) {
      case 'lease_claimed':
        return this.judgeClaim(record, value.lease);
      case 'lease_released':
        return this.findHolder(value.lease, offset)?.offset === value.fencing
          ? ACCEPTED
          : VOID;
      case 'step_opened':
        return this.accepted(offset, 'step_opened').some(
          r => r.value.step === value.step,
        )
          ? VOID
          : ACCEPTED;
      case 'request_claimed':
        return this.isClaimed(value.req, offset) ? VOID : ACCEPTED;
      case 'request_released':
        return this.isClaimed(value.req, offset, record) ? ACCEPTED : VOID;
      case 'samples_committed':
        return this.judgeCommit(offset, value);
      case 'step_closed':
        return this.isOwner(offset, value) ? ACCEPTED : VOID;
      default:
        return ACCEPTED;
    }
  }

  /**
   * Whether a claim is in force before `offset`; with `releaser`, only one that
   * its writer won.
   */
  private isClaimed(req: string, offset: number, releaser?: Logged): boolean {
    let claims: Logged[] = [];
    let winner: Logged | undefined;
    for (const r of this.listBefore(offset)) {
      const {value} = r;
      const isSameRequest = 'req' in value && value.req === req;
      if (!isSameRequest || this.listBefore(r.offset).some(e => isCopy(e, r)))
        continue;
      const listAccepted = this.verdicts[r.offset]!.accepted;
      if (value.kind === 'request_released' && listAccepted) claims = [];
      if (value.kind !== 'request_claimed') continue;
      claims.push(r);
      if (listAccepted) winner = r;
    }
    const isInForce = claims.some(
      r => this.timeOf(r.offset) + this.claimHorizonMs > this.timeOf(offset),
    );
    return (
      isInForce && (releaser === undefined || isSameWriter(winner!, releaser))
    );
  }

  private judgeClaim(record: Logged, lease: string): NaiveVerdict {
    const {offset} = record;
    if (!this.isLive(record, offset)) return VOID;
    const holder = this.findHolder(lease, offset);
    if (holder === undefined || !this.isLive(holder, offset)) {
      return {accepted: true, gains: [offset]};
    }
    if (!isSameWriter(holder, record)) return VOID;
    return {accepted: true, gains: [holder.offset]};
  }

  private judgeCommit(
    offset: number,
    value: Extract<StateRecord, {kind: 'samples_committed'}>,
  ): NaiveVerdict {
    if (!this.isOwner(offset, value)) return VOID;
    const commits = this.accepted(offset, 'samples_committed');
    const won = new Set<number>();
    for (const commit of commits) {
      for (const {sample} of commit.value.samples) won.add(sample);
    }
    const fresh = new Set(
      value.samples.map(s => s.sample).filter(sample => !won.has(sample)),
    );
    const gains = [...fresh].map((_, i) => won.size + i + 1);
    return gains.length === 0 ? VOID : {accepted: true, gains};
  }

  private isOwner(
    offset: number,
    value: {readonly tenant: string; readonly step: string; fencing: number},
  ): boolean {
    const opened = this.accepted(offset, 'step_opened').length > 0;
    const closed = this.accepted(offset, 'step_closed').length > 0;
    const lease = `step:${value.tenant}/${value.step}`;
    return (
      opened &&
      !closed &&
      this.findHolder(lease, offset)?.offset === value.fencing
    );
  }

  /** The claim that last won the lease before `offset`, even if expired. */
  private findHolder(lease: string, offset: number): Logged | undefined {
    let holder: Logged | undefined;
    for (const r of this.listBefore(offset)) {
      if (!this.verdicts[r.offset]!.accepted) continue;
      const {value} = r;
      if (value.kind === 'lease_claimed' && value.lease === lease) {
        holder = this.records[this.verdicts[r.offset]!.gains[0]!]!;
      }
      if (value.kind === 'lease_released' && value.lease === lease) {
        holder = undefined;
      }
      // Closing a step also releases its lease.
      if (
        value.kind === 'step_closed' &&
        `step:${value.tenant}/${value.step}` === lease
      ) {
        holder = undefined;
      }
    }
    return holder;
  }

  /** Whether the session of a record's writer is live at `offset`. */
  private isLive(record: Logged, offset: number): boolean {
    const last = this.listBefore(offset)
      .filter((r, _, all) => isSameWriter(r, record) && !hasEarlier(r, all))
      .filter(r => r.value.kind.startsWith('session'))
      .at(-1);
    if (last?.value.kind !== 'session') return false;
    return this.timeOf(last.offset) + last.value.ttlMs > this.timeOf(offset);
  }

  /** Returns the log time; backward jumps count as no elapsed time. */
  private timeOf(offset: number): number {
    let timeMs = 0;
    for (let i = 0; i <= offset; i++) {
      const previousMs = this.records[i - 1]?.timeMs ?? 0;
      timeMs += Math.max(0, this.records[i]!.timeMs - previousMs);
    }
    return timeMs;
  }

  private listBefore(offset: number): readonly Logged[] {
    return this.records.slice(0, offset);
  }

  /** Records of a kind before `offset`, without duplicates. */
  private listFirstCopies<K extends StateRecord['kind']>(
    offset: number,
    kind: K,
  ) {
    return this.listBefore(offset).filter(
      (r, _, all) => r.value.kind === kind && !hasEarlier(r, all),
    ) as Array<LoggedRecord<Extract<StateRecord, {kind: K}>>>;
  }

  private accepted<K extends StateRecord['kind']>(offset: number, kind: K) {
    return this.listFirstCopies(offset, kind).filter(
      r => this.verdicts[r.offset]!.accepted,
    );
  }
}

function isSameWriter(a: Logged, b: Logged): boolean {
  return a.value.stamp.vm === b.value.stamp.vm;
}

function isCopy(a: Logged, b: Logged): boolean {
  return isSameWriter(a, b) && a.value.stamp.seq === b.value.stamp.seq;
}

function hasEarlier(record: Logged, all: readonly Logged[]): boolean {
  return all.some(r => r.offset < record.offset && isCopy(r, record));
}
