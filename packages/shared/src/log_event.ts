/**
 * The closed list of log messages that the gateway writes, with the fields of each.
 * Tools that read logs can rely on it: every line has one of these messages.
 */

/**
 * Identifies a request, a batch or an item of a batch. A `fingerprint` in the same line
 * identifies the content, so repetitions of a request share it.
 */
type RequestFields = {
  readonly requestId: string | undefined;
};

/** The rule and configuration version that a decision was based on. */
type DecisionFields = {
  readonly rule: string | undefined;
  readonly configVersion: number;
};

/** An endpoint's entry in the platform's list of endpoints. */
type EndpointFields = {
  readonly endpoint: string;
  readonly service: string;
  readonly address: string;
  /** Offset of the entry in the list's history; the same on every VM. */
  readonly offset: number;
};

/** Several entries that were received by one read of the list. */
type EndpointListFields = {
  readonly count: number;
  /** Ids of some of the endpoints, separated by commas. */
  readonly endpoints: string;
  /** Offset of the last entry in the list's history. */
  readonly offset: number;
};

/** One run of an item on an engine. */
type RunFields = RequestFields & {
  readonly batch: string;
  readonly endpoint: string;
  readonly reason: string;
  /** Last stored event; -1 for none. */
  readonly from: number;
  readonly configVersion: number;
};

/** A run or reward call by the id under which its failure counts. */
type AttemptFields = {
  readonly attempt: string;
};

/** One reward call for the text of an item. */
type RewardFields = RequestFields & {
  readonly batch: string;
  /** Id of the call. */
  readonly call: string;
  readonly endpoint: string;
};

type BatchFailureFields = RequestFields & {
  readonly rule: string | undefined;
  readonly outcome: string;
  readonly detail: string | undefined;
};

/**
 * Fields by message. Times are in ms; `tookMs` counts from the start of the logged
 * operation.
 */
export interface LogEventFields {
  readonly started: {
    readonly vm: string;
    readonly life: string;
    readonly front: string;
  };
  readonly stopping: {readonly vm: string};
  readonly 'asked again to stop': {readonly vm: string};
  readonly stopped: {readonly vm: string};
  readonly 'settings reloaded': {readonly detail: string};
  readonly 'configuration in force': {
    readonly configVersion: number;
    readonly routes: number;
  };
  readonly 'weights named': {readonly model: string; readonly version: number};
  readonly 'record skipped': {
    readonly key: string;
    readonly offset: number;
    readonly detail: string;
  };
  readonly 'record can not be read and is skipped': {
    readonly partition: number;
    readonly offset: number;
    readonly detail: string;
  };
  readonly 'topic can not be read': {
    readonly topic: string;
    readonly detail: string;
  };
  readonly 'topic is read again': {readonly topic: string};
  readonly 'history of a topic is gone, reading anew': {
    readonly topic: string;
    readonly from: number;
    readonly first: number;
  };
  readonly 'start of a partition is gone': {
    readonly partition: number;
    readonly from: number;
    readonly first: number;
  };
  readonly 'the VM was suspended or its clock was set': {
    readonly driftMs: number;
  };
  readonly 'coordinator now': {
    readonly fencingToken: number;
    readonly holder: string | undefined;
  };
  readonly 'coordinator no more': {
    readonly fencingToken: number;
    readonly holder: string | undefined;
  };
  /** The contents of a window's usage report have been written to the log. */
  readonly 'usage decided': {
    readonly window: number;
    readonly accounts: number;
    readonly requests: number;
    readonly fencingToken: number;
  };
  /** The platform did not accept the report within the log's retention period. */
  readonly 'usage report given up': {readonly window: number};
  readonly 'usage report': {
    readonly window: number;
    readonly fencingToken: number;
    readonly outcome: string;
  };
  /** The connections to the endpoint broke and it was unreachable right afterwards. */
  readonly 'endpoint crashed': {
    readonly endpoint: string;
    readonly service: string;
    /** Number of this VM's requests that were in flight on it. */
    readonly requests: number;
    /** Fingerprints of some of these requests, separated by commas. */
    readonly fingerprints: string;
  };
  /** The request is quarantined: it is sent to no endpoint until a probe is allowed. */
  readonly 'crashing request held back': {
    readonly fingerprint: string;
    /** Number of endpoint crashes that are still recorded for the request. */
    readonly crashes: number;
    readonly retryAfterMs: number;
  };
  /** A request that was in flight on endpoints when they crashed has completed. */
  readonly 'request cleared': {readonly fingerprint: string};
  readonly 'request held back': RequestFields &
    DecisionFields & {
      readonly fingerprint: string;
      /** Number of endpoint crashes that are still recorded for the request. */
      readonly crashes: number;
      /** Ms until the request may be sent as a probe. */
      readonly retryAfterMs: number;
    };
  readonly 'endpoint joined': EndpointFields;
  readonly 'endpoint reborn': EndpointFields;
  readonly 'endpoint draining': EndpointFields;
  readonly 'endpoint stale': EndpointFields;
  readonly 'endpoint left': EndpointFields;
  /** Used instead of single lines when many endpoints change at once. */
  readonly 'endpoints joined': EndpointListFields;
  readonly 'endpoints reborn': EndpointListFields;
  readonly 'endpoints draining': EndpointListFields;
  readonly 'endpoints stale': EndpointListFields;
  readonly 'endpoints left': EndpointListFields;
  /**
   * Another endpoint was expected to answer sooner. Written at most once in 10 s for each
   * endpoint; the `passed_over_` counters have all cases.
   */
  readonly 'endpoint passed over': {
    readonly endpoint: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly reason: string;
    /** Usual duration of a request there as seen by this VM; 0 if unknown. */
    readonly usualMs: number;
    /** Duration at this moment relative to the usual one. */
    readonly slowdown: number;
    /** Requests that are expected to be there. */
    readonly load: number;
  };
  readonly 'report of an engine can not be read': {
    readonly endpoint: string;
    readonly detail: string | undefined;
  };
  /** The limit on engines that load weights at the same time has changed. */
  readonly 'loads at once': {
    readonly service: string;
    readonly engines: number;
    readonly limit: number;
    /** Expected duration of one load, in ms. */
    readonly expectedMs: number;
  };
  /** Usual speeds of a service's engines, by their class. */
  readonly 'engine speeds': {
    readonly service: string;
    /** Share by which each further run on an engine increases the event gap. */
    readonly growthPerRun: number;
    readonly fast: number;
    readonly typical: number;
    readonly slow: number;
    /** Median pace of each class, in ms per event; 0 if it is empty. */
    readonly fastMs: number;
    readonly typicalMs: number;
    readonly slowMs: number;
    /** Number of engines that runs are leaving. */
    readonly slowed: number;
  };
  /** The engine's runs move elsewhere until its pace is about the usual one. */
  readonly 'engine became slow': {
    readonly endpoint: string;
    readonly service: string;
    /** Usual and present pace, in ms per event. */
    readonly usualMs: number;
    readonly presentMs: number;
    /** Slowdown of its machine that it reported last and that is believed. */
    readonly slowdown: number;
  };
  readonly 'engine no longer slow': {
    readonly endpoint: string;
    readonly service: string;
    /** `recovered`, or `unknown` if it has had no runs that show it. */
    readonly outcome: string;
  };
  readonly 'order to an engine': {
    readonly endpoint: string;
    readonly model: string;
    readonly version: number;
    readonly mode: string;
    readonly fencingToken: number;
    readonly expectedOrders: number;
    readonly outcome: string;
  };
  readonly request: RequestFields &
    DecisionFields & {
      readonly account: string | undefined;
      readonly outcome: string;
      readonly tookMs: number;
    };
  readonly 'request refused': RequestFields & {
    readonly configVersion: number;
    readonly host: string | undefined;
    readonly path: string | undefined;
    /** Fingerprint of the API key that the caller sent. */
    readonly key: string | undefined;
    readonly outcome: string;
  };
  /** Callers met limits since the last such line: more was held, or more connections were open, than this VM allows. */
  readonly 'callers limited': {
    /** Bodies, answers and requests sent ahead that had to give way. */
    readonly evicted: number;
    /** Connections that were closed for new ones. */
    readonly connectionsClosed: number;
    /** New connections that were closed since no other could be. */
    readonly connectionsRefused: number;
    readonly heldBytes: number;
    readonly connections: number;
  };
  /** There was too little room for the request; no endpoint has run it. */
  readonly 'request refused for lack of room': RequestFields &
    DecisionFields & {
      readonly service: string;
      readonly account: string | undefined;
      /** Of the account, otherwise of the route; 0 is the most urgent. */
      readonly priority: number;
      readonly reason: string;
      /** Requests per second that this VM sends at most to the service. */
      readonly limitPerS: number | undefined;
      /** This VM's requests at endpoints of the service. */
      readonly inFlight: number;
      /** Requests that wait for the service on this VM. */
      readonly waiting: number;
      readonly expectedWaitMs: number;
      readonly retryAfterMs: number;
    };
  readonly 'request failed inside': RequestFields & {readonly detail: string};
  readonly 'attempt failed': RequestFields &
    DecisionFields & {
      readonly endpoint: string;
      readonly tookMs: number;
      readonly outcome: string;
      readonly detail: string;
      readonly fingerprint: string;
    };
  readonly 'stream attempt ended': RequestFields &
    DecisionFields & {
      readonly endpoint: string;
      /** Last event that was sent to the caller; -1 for none. */
      readonly lastEvent: number;
      readonly outcome: string;
      readonly detail: string;
      readonly fingerprint: string;
    };
  readonly 'batch accepted': RequestFields &
    DecisionFields & {
      readonly account: string | undefined;
      readonly step: number;
      readonly model: string;
      readonly minVersion: number;
      readonly items: number;
      readonly partition: number;
      readonly offset: number;
    };
  /** The coordinator had not read the configuration that accepted the batch. */
  readonly 'batch waited for its configuration': RequestFields & {
    /** Version that this VM has read. */
    readonly configVersion: number;
    /** Version that accepted the batch, if its record tells. */
    readonly acceptedUnder: number | undefined;
    readonly outcome: string;
    readonly tookMs: number;
  };
  readonly 'batch end': RequestFields;
  readonly 'batch submit failed': BatchFailureFields;
  readonly 'batch end failed': BatchFailureFields;
  readonly 'batch call refused': RequestFields & {
    readonly call: string;
    readonly outcome: string;
    readonly detail: string | undefined;
  };
  readonly 'run started': RunFields;
  readonly 'run stopped': RunFields;
  readonly 'run out of order': RunFields;
  readonly 'run finished': RunFields;
  readonly 'run failed': RunFields & AttemptFields;
  readonly 'run impossible': RunFields & AttemptFields;
  readonly 'run refused': RunFields;
  readonly 'run flooded': RunFields;
  readonly 'run misdirected': RunFields;
  readonly 'run unreachable': RunFields;
  readonly 'run broken': RunFields & {readonly fingerprint: string};
  readonly 'reward call started': RewardFields & DecisionFields;
  readonly 'reward call ended': RewardFields &
    AttemptFields & {
      readonly outcome: string;
      readonly detail: string;
      readonly tookMs: number;
      /** Set if the call's connection broke. */
      readonly fingerprint: string | undefined;
    };
  readonly 'items are run by another VM': {readonly runs: number};
  /** The coordinator retries until the batch can be read. */
  readonly 'batch can not be read': {
    readonly batch: string;
    readonly detail: string | undefined;
  };
  readonly 'item has a result': RequestFields & {
    readonly batch: string;
    readonly configVersion: number;
    readonly outcome: string;
    readonly reason: string;
    readonly versions: string;
    /** Attempts that counted as failed, separated by commas; undefined for none. */
    readonly failedAttempts: string | undefined;
  };
  /** A stored item that no HTTP request can carry; it stays without a result until its retention is over. */
  readonly 'item can not be sent': RequestFields & {
    readonly batch: string;
    readonly field: string | undefined;
  };
  readonly 'log lines dropped': {readonly dropped: number};
}

export type LogEventName = keyof LogEventFields;
