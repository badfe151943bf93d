/** Reads a request's body whole, up to a limit. */

import type {IncomingMessage} from 'node:http';
import {createError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';

/** Reads at most `maxBytes`; a longer body is refused as `too_large`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) {
        return fail(createError('too_large', `body over ${maxBytes} bytes`));
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    return fail(createError('bad_request', 'the body broke off'));
  }
  return succeed(Buffer.concat(chunks));
}

/** Reads a JSON body of at most `maxBytes`. */
export async function readJson(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown>> {
  const body = await readBody(req, maxBytes);
  if (!body.ok) return body;
  try {
    return succeed(JSON.parse(body.value.toString('utf8')));
  } catch {
    return fail(createError('bad_request', 'the body is not JSON'));
  }
}
