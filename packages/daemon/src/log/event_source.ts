/** A `most` stream that its owner feeds event by event. */

import {type Scheduler, type Sink, Stream} from 'most';

interface Reader<T> {
  readonly sink: Sink<T>;
  readonly scheduler: Scheduler;
}

/** Events reach every observer of `stream` in the turn in which they are emitted. */
export class EventSource<T> {
  readonly stream: Stream<T>;
  private readonly readers = new Set<Reader<T>>();

  constructor() {
    this.stream = new Stream<T>({
      run: (sink, scheduler) => {
        const reader = {sink, scheduler};
        this.readers.add(reader);
        return {
          dispose: () => {
            this.readers.delete(reader);
          },
        };
      },
    });
  }

  emit(event: T): void {
    for (const {sink, scheduler} of [...this.readers]) {
      sink.event(scheduler.now(), event);
    }
  }

  /** Ends the stream for all observers. */
  end(): void {
    for (const {sink, scheduler} of [...this.readers]) {
      sink.end(scheduler.now());
    }
    this.readers.clear();
  }
}
