/** Counters of the connections between VMs. */

export class PeerCounters {
  opened = 0;
  /** Connections with a wrong or missing proof of the shared key. */
  unauthorized = 0;
  /** Connections closed because of data that is no valid message. */
  malformed = 0;
  /** Outgoing messages that were dropped because they exceed the size limit. */
  oversized = 0;
  /** Connections closed because nothing was received for too long. */
  silent = 0;
  /** Connections closed because the peer read too slowly. */
  slow = 0;
  bytesSent = 0;
  bytesReceived = 0;
  messagesSent = 0;
  messagesReceived = 0;
}
