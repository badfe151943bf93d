/** Counts of what happened on the connections between VMs. */

export class PeerCounters {
  opened = 0;
  /** Wrong or missing proof of the shared key. */
  unauthorized = 0;
  /** Bytes that are no message. */
  malformed = 0;
  /** Own messages over the size limit, not sent. */
  oversized = 0;
  /** Open connections that went silent. */
  silent = 0;
  /** Peers that read too slowly. */
  slow = 0;
  bytesSent = 0;
  bytesReceived = 0;
  messagesSent = 0;
  messagesReceived = 0;
}
