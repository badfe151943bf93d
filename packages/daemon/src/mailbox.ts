/** Mailboxes: how tasks send each other messages, as `most` streams. */

import {EventEmitter} from 'node:events';
import {fromEvent, Stream} from 'most';

const messageEvent = 'message';

/** A queue with one stream of what is posted to it. */
export interface Mailbox<T> {
  readonly messages: Stream<T>;
  /** Delivers `message` to all present observers, in order of posting. */
  post(message: T): void;
}

/** Creates a mailbox. Posting while a message is handled queues behind it. */
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
