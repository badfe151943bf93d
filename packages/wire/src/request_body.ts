/** Reads complete request bodies up to a size limit. */

import type {IncomingMessage} from 'node:http';
import {createError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';

/** Reads at most `maxBytes`; a longer body is refused as `too_large`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) {
        chunks.push(chunk);
        return;
      }
      // The rest is read and discarded. Closing the connection here would reset it
      // before the caller has read the error response.
      chunks.length = 0;
      const detail = `body over ${maxBytes} bytes`;
      resolve(fail(createError('too_large', detail)));
    });
    req.once('end', () => resolve(succeed(Buffer.concat(chunks))));
    req.once('close', () =>
      resolve(
        fail(
          createError(
            'bad_request',
            'the connection closed before the end of the body',
          ),
        ),
      ),
    );
  });
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
