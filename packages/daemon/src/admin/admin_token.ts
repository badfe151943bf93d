/**
 * Tokens of the administration API: `NAME.SECRET`, with 256 random bits as the
 * secret. The settings contain only a salted hash, so that someone who reads
 * them can not use the token.
 */

import {randomBytes, scrypt, timingSafeEqual} from 'node:crypto';

/** Binary logarithm of scrypt's cost; 2^12 takes 4 MiB of memory per check. */
const COST_EXPONENT = 12;
const BLOCK_SIZE = 8;
const SALT_BYTES = 16;
const HASH_BYTES = 32;
const SECRET_BYTES = 32;
const MAX_TOKEN_CHARS = 300;

const TOKEN_PATTERN = /^([A-Za-z0-9][A-Za-z0-9_-]{0,99})\.[A-Za-z0-9_-]+$/;

/** Creates a token for `name`, which must be valid in `[token.NAME]`. */
export function mintToken(name: string): string {
  return `${name}.${randomBytes(SECRET_BYTES).toString('base64url')}`;
}

/** Reads the name from a token; undefined if the token is malformed. */
export function readTokenName(token: string): string | undefined {
  if (token.length > MAX_TOKEN_CHARS) return undefined;
  return TOKEN_PATTERN.exec(token)?.[1];
}

/** Hashes `token` with a new salt, in the format of the settings. */
export async function hashToken(token: string): Promise<string> {
  const salt = randomBytes(SALT_BYTES);
  const hash = await derive(token, salt, COST_EXPONENT);
  const parts = [salt, hash].map(bytes => bytes.toString('base64url'));
  return ['scrypt', COST_EXPONENT, ...parts].join('$');
}

/** Whether `hash` was created from `token`. */
export async function matchesHash(
  token: string,
  hash: string,
): Promise<boolean> {
  const [, exponent, salt, expected] = hash.split('$');
  const actual = await derive(
    token,
    Buffer.from(salt, 'base64url'),
    Number(exponent),
  );
  return timingSafeEqual(actual, Buffer.from(expected, 'base64url'));
}

function derive(
  token: string,
  salt: Buffer,
  exponent: number,
): Promise<Buffer> {
  const options = {N: 2 ** exponent, r: BLOCK_SIZE, maxmem: 2 ** 28};
  return new Promise((resolve, reject) => {
    scrypt(token, salt, HASH_BYTES, options, (err, key) =>
      err ? reject(err) : resolve(key),
    );
  });
}
