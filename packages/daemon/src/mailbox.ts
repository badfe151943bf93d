/**
 * Mailboxes through which tasks send messages to each other as `most` streams.
 */

import {EventEmitter} from 'node:events';
import {fromEvent, Stream} from 'most';

const messageEvent = 'message';

/** A message queue that is read as a stream. */
export interface Mailbox<T> {
  readonly messages: Stream<T>;
  /** Delivers `message` to all current observers, in the order of posting. */
  post(message: T): void;
}

/**
 * Creates a mailbox. A message posted while another is handled is delivered
 * after it.
 */
export function createMailbox<T>(): Mailbox<T> {
  const emitter = new EventEmitter();
  const queue: T[] = [];
  let draining = false;
  return {
    messages: fromEvent<T>(messageEvent, emitter),
    post(message) {
      queue.push(message);
      if (draining) return;
      draining = true;
      try {
        for (let next = queue.shift(); next; next = queue.shift()) {
          emitter.emit(messageEvent, next);
        }
      } finally {
        draining = false;
      }
    },
  };
}
