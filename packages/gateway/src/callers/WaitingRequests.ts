import type * as core from '@tamarackferry/core';

import type * as attemptSender from './AttemptSender.js';
import type * as routedRequest from './RoutedRequest.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import type * as routedService from './RoutedService.js';
import type * as serviceTable from './ServiceTable.js';
import * as waitingPolicy from './WaitingPolicy.js';

// Waiting requests are checked at this interval, so that a request that can no longer be served in time is refused.
const QUEUE_CHECK_INTERVAL_MS = 40;

/** Options of `WaitingRequests`. */
export interface WaitingRequestsOptions {
  readonly timers: core.time.TimerService;
  /** Task that owns the requests; it calls `serveAll` on `queue-check-due`. */
  readonly mailbox: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  readonly services: serviceTable.ServiceTable;
  readonly policy: waitingPolicy.WaitingPolicy;
  readonly sender: attemptSender.AttemptSender;
  /** Called for each waiting request that can no longer be served in time. */
  readonly onRefuse: (request: routedRequest.RoutedRequest) => void;
}

/** Requests that wait for a free slot: admits them to the queue of their service, and sends them in its order. */
export class WaitingRequests {
  private timer: core.time.TimerSubscription | undefined;

  /** @param options - Dependencies. */
  constructor(private readonly options: WaitingRequestsOptions) {}

  /** Counts the requests that wait. */
  count(): number {
    return this.options.services.listServices().reduce((sum, serviceEntry) => sum + serviceEntry.queue.countWaiting(), 0);
  }

  /** Lists the requests that wait. */
  listWaiting(): routedRequest.RoutedRequest[] {
    return this.options.services.listServices().flatMap((serviceEntry) => [...serviceEntry.queue.listWaiting()]);
  }

  /**
   * Lets a request wait, unless it could not be served in time.
   * @param request - Request for which no instance is acceptable now.
   * @param serviceEntry - State of its service.
   */
  add(request: routedRequest.RoutedRequest, serviceEntry: routedService.RoutedService): 'wait' | 'refuse' {
    const nowMs = this.options.timers.getNowMs();
    const place = serviceEntry.queue.findPlace(request, nowMs);
    const decision = this.options.policy.decide(request, serviceEntry, place, nowMs);
    if (decision === 'refuse') return decision;
    request.state = 'waiting';
    serviceEntry.queue.add(request);
    this.startTimer();
    return decision;
  }

  /** Sends what can be sent of all services, when the queues are to be checked. */
  serveAll(): void {
    this.options.services.listServices().forEach((serviceEntry) => this.serve(serviceEntry));
  }

  /** Serves all queues because the timer of the last check has fired. */
  handleCheck(): void {
    this.timer = undefined;
    this.serveAll();
  }

  /**
   * Sends the waiting requests of a service in their order. If no instance is acceptable for one of them, none is for the later ones of the
   * same kind and urgency, so that the cost does not grow with the number of requests times the number of instances.
   * @param serviceEntry - State of the service.
   */
  serve(serviceEntry: routedService.RoutedService): void {
    if (serviceEntry.queue.countWaiting() === 0) return;
    const nowMs = this.options.timers.getNowMs();
    const unserved = new Set<string>();
    let requestsAhead = 0;
    serviceEntry.queue.listInOrder(nowMs).forEach(({ request, position, sharedHoldMs }) => {
      // A critical request takes no place in the queue of an instance before requests that are to be served first.
      const ownUrgency = waitingPolicy.WaitingPolicy.computeUrgency(request, nowMs);
      const urgency = ownUrgency === 'critical' && requestsAhead > 0 ? 'urgent' : ownUrgency;
      const group = `${request.options.route.kind} ${urgency}`;
      if (!unserved.has(group) && this.options.sender.sendWaiting(request, serviceEntry, urgency)) {
        serviceEntry.queue.remove(request);
        return;
      }
      // The instances that were tried before are not acceptable for this request only.
      if (request.attempts.length === 0) unserved.add(group);
      if (this.options.policy.decide(request, serviceEntry, { requestsAhead, claim: position.claim, sharedHoldMs }, nowMs) === 'wait') requestsAhead += 1;
      else {
        serviceEntry.queue.remove(request);
        this.options.onRefuse(request);
      }
    });
    if (serviceEntry.queue.countWaiting() > 0) this.startTimer();
  }

  private startTimer(): void {
    this.timer ??= this.options.timers.subscribe({
      mailbox: this.options.mailbox, message: { type: 'queue-check-due' as const }, delayMs: QUEUE_CHECK_INTERVAL_MS,
    });
  }
}
