import type * as core from '@tamarackferry/core';

import type * as tenant from '../contracts/Tenant.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as gatewayOutput from './GatewayOutput.js';
import * as quotaLog from './QuotaLog.js';
import * as quotaPublisher from './QuotaPublisher.js';
import type * as quotaShare from './QuotaShare.js';
import type * as quotaUsage from './QuotaUsage.js';
import type * as routedRequest from './RoutedRequest.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';
import * as tenantQuotas from './TenantQuotas.js';

// Endings that show that the instance did not run the request.
const NOT_RUN_ENDINGS: readonly attemptEnding.AttemptEnding['type'][] = ['not-run', 'unsent', 'misdirected'];

const ADMITTED: tenantQuotas.QuotaDecision = { type: 'admitted' };

/** Options of `RequestQuotas`. */
export interface RequestQuotasOptions {
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>;
  /** Task that owns the requests; it calls `handleDue` on `quota-due`. */
  readonly mailbox: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>;
  /** Name of the VM. */
  readonly vm: string;
  /** Bounds within which the quotas of tenants must hold over all VMs together. */
  readonly quotas: quotaShare.QuotaBounds;
}

/** Counts requests towards the quotas of their tenants, from their arrival to the end of their attempts. Others are ignored. */
export class RequestQuotas {
  private readonly quotas: tenantQuotas.TenantQuotas;

  private readonly publisher: quotaPublisher.QuotaPublisher;

  private readonly log: quotaLog.QuotaLog;

  /** @param options - Dependencies and bounds. */
  constructor(private readonly options: RequestQuotasOptions) {
    this.quotas = new tenantQuotas.TenantQuotas(options.vm, options.quotas, options.random);
    this.log = new quotaLog.QuotaLog(options.outbox);
    this.publisher = new quotaPublisher.QuotaPublisher({ ...options, quotas: this.quotas, countExceeded: () => this.log.countExceeded() });
  }

  /** Counts the tenants that exceed their quotas at this VM. */
  countExceeded(): number {
    return this.log.countExceeded();
  }

  /**
   * Applies the quotas of a newer configuration.
   * @param tenants - Tenants of the configuration.
   */
  applyTenants(tenants: readonly tenant.Tenant[]): void {
    this.quotas.applyTenants(tenants, this.options.timers.getNowMs());
    this.publisher.start();
  }

  /**
   * Records whether the directory returns this VM to callers.
   * @param listed - Whether it does.
   */
  setListed(listed: 'listed' | 'unlisted'): void {
    this.quotas.setListed(listed);
    this.publisher.start();
  }

  /**
   * Records what another VM has sent.
   * @param notice - Notice of the other VM.
   */
  recordPeerUsage(notice: quotaUsage.QuotaNotice): void {
    if (this.quotas.recordPeerUsage(notice, this.options.timers.getNowMs()) === 'new') this.publisher.answer(notice);
  }

  /** Tells the other VMs what was sent because the timer has fired. */
  handleDue(): void {
    this.log.expire(this.options.timers.getNowMs());
    this.publisher.handleDue();
  }

  /**
   * Takes a request that has arrived from the quota of its tenant.
   * @param request - Request.
   */
  take(request: routedRequest.RoutedRequest): tenantQuotas.QuotaDecision {
    const name = RequestQuotas.getTenantName(request);
    if (name === undefined) return ADMITTED;
    const nowMs = this.options.timers.getNowMs();
    const isUnannounced = this.quotas.needsAnnouncement(name);
    const decision = this.quotas.take(name, nowMs);
    if (isUnannounced) this.publisher.publishSoon();
    if (decision.type === 'exceeded') this.log.recordRefusal(name, decision.shortage, nowMs);
    return decision;
  }

  /**
   * Records that an attempt of a request was sent.
   * @param request - Request.
   */
  recordSent(request: routedRequest.RoutedRequest): void {
    const name = RequestQuotas.getTenantName(request);
    if (name === undefined) return;
    this.quotas.recordSent(name, request.attempts.length === 1 ? 'pending' : 'sent', this.options.timers.getNowMs());
  }

  /**
   * Records the end of an attempt. What an instance did not run does not count towards the quota.
   * @param request - Request.
   * @param attempt - Attempt that ended.
   * @param ending - How it ended.
   */
  recordEnding(request: routedRequest.RoutedRequest, attempt: routedRequest.RoutedAttempt, ending: attemptEnding.AttemptEnding): void {
    const name = RequestQuotas.getTenantName(request);
    if (name === undefined || !NOT_RUN_ENDINGS.includes(ending.type)) return;
    this.quotas.recordNotRun(name, attempt.sentAtMs, this.options.timers.getNowMs());
  }

  /**
   * Returns a request to the quota if no attempt of it was sent.
   * @param request - Request that has ended.
   */
  release(request: routedRequest.RoutedRequest): void {
    const name = RequestQuotas.getTenantName(request);
    if (name !== undefined && request.attempts.length === 0) this.quotas.release(name);
  }

  private static getTenantName(request: routedRequest.RoutedRequest): string | undefined {
    const found = request.getTenant();
    return found?.quota === undefined ? undefined : found.name;
  }
}
