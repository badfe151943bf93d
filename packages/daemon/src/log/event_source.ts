/** Provides a `most` stream whose events are emitted by its owner. */

import {type Scheduler, type Sink, Stream} from 'most';

interface Observer<T> {
  readonly sink: Sink<T>;
  readonly scheduler: Scheduler;
}

/** Delivers each event synchronously to every observer of `stream`. */
export class EventSource<T> {
  readonly stream: Stream<T>;
  private readonly observers = new Set<Observer<T>>();

  constructor() {
    this.stream = new Stream<T>({
      run: (sink, scheduler) => {
        const observer = {sink, scheduler};
        this.observers.add(observer);
        return {
          dispose: () => {
            this.observers.delete(observer);
          },
        };
      },
    });
  }

  emit(event: T): void {
    for (const {sink, scheduler} of [...this.observers]) {
      sink.event(scheduler.now(), event);
    }
  }

  /** Ends the stream for all observers. */
  end(): void {
    for (const {sink, scheduler} of [...this.observers]) {
      sink.end(scheduler.now());
    }
    this.observers.clear();
  }
}
