import {toRequestId, toTeamId, toTenantId} from '@radishyoke/shared/ids';
import test from 'ava';
import fc from 'fast-check';
import {
  AuditChain,
  hashBlock,
  type AuditBlock,
  type LoggedHead,
  type UnstampedBlock,
} from '../audit_chain.js';
import type {AuditEntry} from '../audit_entry.js';
import {
  AuditExporter,
  type AuditRecord,
  verifyExport,
} from '../audit_export.js';
import {createStamp} from '../../simulation/log_fixtures.js';

const WRITERS = ['a/i1', 'b/i1', 'c/i1'] as const;
const BLOCKS = 12;

function createEntry(name: string): AuditEntry {
  return {
    kind: 'request',
    atMs: 1,
    team: toTeamId('k'),
    tenant: toTenantId('app'),
    request: toRequestId(name),
    rule: 'all',
    configVersion: 3,
    attempts: [],
    outcome: 'answered',
  };
}

function addStamp(block: UnstampedBlock): AuditBlock {
  const vm = block.writer.split('/')[0]!;
  return {...block, stamp: createStamp(vm, block.number)};
}

/**
 * Creates a stream in which each block contains the current heads of the other
 * writers.
 */
function createRecords(choices: readonly number[]): AuditRecord[] {
  const chains = WRITERS.map(writer => new AuditChain(writer));
  const heads = new Map<string, LoggedHead>();
  return choices.map((choice, offset) => {
    const chain = chains[choice % chains.length]!;
    const others = [...heads.values()].filter(h => h.writer !== chain.writer);
    const value = addStamp(chain.seal([createEntry(`r${offset}`)], others));
    heads.set(chain.writer, {...chain.head, offset});
    return {offset, timeMs: offset, value};
  });
}

function exportLines(records: readonly AuditRecord[]): string[] {
  const exporter = new AuditExporter();
  const header = exporter.begin(records[0]?.offset ?? 0);
  return [header, ...records.map(r => exporter.add(r)), exporter.end()];
}

/** Makes the offsets consecutive again, as a forger would. */
function renumber(records: readonly AuditRecord[]): AuditRecord[] {
  return records.map((record, offset) => ({...record, offset}));
}

const choices = fc.array(fc.nat(2), {minLength: BLOCKS, maxLength: BLOCKS});
const SETTINGS = {seed: 11, numRuns: 100};

test('an unchanged export has no faults, even with a duplicate block', t => {
  fc.assert(
    fc.property(choices, fc.nat(BLOCKS - 1), (list, copied) => {
      const records = createRecords(list);
      const copy = {...records[copied]!, offset: records.length};
      t.deepEqual(verifyExport(exportLines([...records, copy])).faults, []);
    }),
    SETTINGS,
  );
});

// An auditor gets a file in which one line was removed, repeated, edited or moved.
test('any single change of the lines is detected', t => {
  fc.assert(
    fc.property(
      choices,
      fc.nat(BLOCKS + 1),
      fc.nat(),
      fc.nat(3),
      (list, lineIndex, charIndex, change) => {
        const lines = exportLines(createRecords(list));
        const line = lines[lineIndex]!;
        if (change === 0) lines.splice(lineIndex, 1);
        if (change === 1) lines.splice(lineIndex, 0, line);
        if (change === 2)
          lines[lineIndex] = replaceAt(line, charIndex % line.length);
        if (change === 3)
          lines.splice(
            (lineIndex + 1) % lines.length,
            0,
            ...lines.splice(lineIndex, 1),
          );
        t.true(verifyExport(lines).faults.length > 0);
      },
    ),
    SETTINGS,
  );
});

function replaceAt(text: string, index: number): string {
  const other = text[index] === '7' ? '8' : '7';
  return text.slice(0, index) + other + text.slice(index + 1);
}

interface Forgery {
  readonly name: string;
  readonly forge: (
    records: readonly AuditRecord[],
    at: number,
  ) => readonly AuditRecord[];
}

const FORGERIES: readonly Forgery[] = [
  {
    name: 'a dropped block that another block references',
    forge: (records, at) => renumber(records.filter((_, i) => i !== at)),
  },
  {
    name: 'a changed block with a matching hash',
    forge: (records, at) => {
      const forged = {
        ...records[at]!.value,
        entries: [createEntry('forged')],
      };
      const value = {...forged, hash: hashBlock(forged)};
      return records.map((r, i) => (i === at ? {...r, value} : r));
    },
  },
  {
    name: 'a block moved to the front',
    forge: (records, at) =>
      renumber([records[at]!, ...records.filter((_, i) => i !== at)]),
  },
  {
    name: 'an inserted block of an invented writer',
    forge: (records, at) => {
      const value = addStamp(
        new AuditChain('x/i1').seal([createEntry('forged')], []),
      );
      return renumber([
        ...records.slice(0, at),
        {...records[at]!, value},
        ...records.slice(at),
      ]);
    },
  },
];

// A forger changes one block and then makes offsets and trailer consistent again.
for (const {name, forge} of FORGERIES) {
  test(`a forgery is detected: ${name}`, t => {
    fc.assert(
      fc.property(
        choices,
        fc.integer({min: 1, max: BLOCKS - 4}),
        (list, at) => {
          const tail = [0, 1, 2, 0, 1, 2];
          const records = createRecords([...list, ...tail]);
          const report = verifyExport(exportLines(forge(records, at)));
          t.true(report.faults.length > 0);
        },
      ),
      SETTINGS,
    );
  });
}

// Rewriting every chain from some block on leaves no trace inside the export.
test('rewritten ends of all chains are detected only with a head stored elsewhere', t => {
  const records = createRecords([0, 1, 2, 0, 1, 2]);
  const storedHeads = verifyExport(exportLines(records)).heads;
  const rewritten = createRecords([0, 1, 2, 0, 2, 1]);
  t.deepEqual(verifyExport(exportLines(rewritten)).faults, []);
  t.true(verifyExport(exportLines(rewritten), storedHeads).faults.length > 0);
});

// The log was unavailable until the VM's buffer was full and entries were dropped.
test('dropped entries and a chain without an end are reported', t => {
  const chain = new AuditChain('a/i1');
  const gap: AuditEntry = {kind: 'gap', fromMs: 1, toMs: 2, dropped: 7};
  const blocks = [
    chain.seal([gap], []),
    chain.seal([{kind: 'closed', atMs: 3}], []),
  ];
  const records = blocks.map((block, offset) => ({
    offset,
    timeMs: 0,
    value: addStamp(block),
  }));
  const open = verifyExport(exportLines(records.slice(0, 1)));
  t.is(open.dropped, 7);
  t.deepEqual(open.unclosed, ['a/i1']);
  t.deepEqual(verifyExport(exportLines(records)).unclosed, []);
});
