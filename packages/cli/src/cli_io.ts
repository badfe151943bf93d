/**
 * Gives commands access to the standard streams and the environment; tests replace it.
 */

export interface CliIo {
  readonly writeOut: (text: string) => void;
  readonly writeErr: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads the standard input to its end. */
  readonly readIn: () => Promise<string>;
}

/** Returns the streams and environment of this process. */
export function createProcessIo(): CliIo {
  return {
    writeOut: text => process.stdout.write(`${text}\n`),
    writeErr: text => process.stderr.write(`${text}\n`),
    env: process.env,
    readIn: readStandardInput,
  };
}

async function readStandardInput(): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString('utf8');
}
