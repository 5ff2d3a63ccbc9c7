import type * as http from 'node:http';

import type * as byteBudget from '../links/ByteBudget.js';
import type * as frontExchange from './FrontExchange.js';

// Time for which a caller need not read its response, and the least rate at which it has to read while memory for answers is short:
// 4 Mbit/s, about half of the slowest link of a VM.
const UNREAD_PATIENCE_MS = 2_000;
const MIN_READ_BYTES_PER_MS = 500;

interface UnwrittenResponse {
  readonly exchange: frontExchange.FrontExchange;
  readonly holder: byteBudget.ByteHolder;
  readonly keptUntilMs: number;
  readonly bytes: number;
}

/** Responses that were sent but are not written to the network completely, since their callers read slowly. */
export class UnwrittenResponses {
  private readonly responses = new Map<http.ServerResponse, UnwrittenResponse>();

  /** @param budget - Limit on the answers that are received or wait to be written, of all requests together. */
  constructor(private readonly budget: byteBudget.ByteBudget) {}

  /** Counts the responses. */
  count(): number {
    return this.responses.size;
  }

  /**
   * Adds a response that is sent now. It is ready, so it is not given up for others.
   * @param exchange - Exchange of the response.
   * @param bytes - Length of its body.
   * @param nowMs - Current time.
   */
  add(exchange: frontExchange.FrontExchange, bytes: number, nowMs: number): void {
    const holder: byteBudget.ByteHolder = { isEvictable: () => false, evict: () => undefined };
    this.responses.set(exchange.options.response, {
      exchange, holder, bytes, keptUntilMs: nowMs + UNREAD_PATIENCE_MS + bytes / MIN_READ_BYTES_PER_MS,
    });
    this.budget.add(holder, bytes);
  }

  /**
   * Removes a response that is written, or never will be. Returns its exchange, or undefined if it was removed before.
   * @param response - Response.
   */
  remove(response: http.ServerResponse): frontExchange.FrontExchange | undefined {
    const removed = this.responses.get(response);
    if (removed === undefined) return undefined;
    this.responses.delete(response);
    this.budget.release(removed.holder);
    return removed.exchange;
  }

  /**
   * Lists the responses whose connections are to be closed, since memory for answers is short and their callers have had the time to read
   * them: as many as make up for what is held too much, those that are kept longest first.
   * @param nowMs - Current time.
   */
  listUnread(nowMs: number): http.ServerResponse[] {
    // A socket reports its end later, and with it the memory that it releases.
    let excessBytes = this.budget.countExcess();
    if (excessBytes <= 0) return [];
    return [...this.responses]
      .filter(([response, { keptUntilMs }]) => nowMs > keptUntilMs && !response.req.socket.destroyed)
      .sort(([, left], [, right]) => left.keptUntilMs - right.keptUntilMs)
      .filter(([, { bytes }]) => {
        const isExcess = excessBytes > 0;
        excessBytes -= bytes;
        return isExcess;
      })
      .map(([response]) => response);
  }
}
