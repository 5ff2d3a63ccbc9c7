/** Flow of requests that shares a service with others: those of one tenant. */
export interface TenantFlow {
  readonly tenant: string;
  /** Weight of its share, in relation to the weights of the other flows. That of the heaviest other flow if it is undefined. */
  readonly weight: number | undefined;
}

// Weight of a flow that has none while there is no other flow.
const DEFAULT_WEIGHT = 1;

interface Claim {
  // Virtual time at which the latest request of the tenant would have been served.
  finish: number;
  readonly weight: number;
}

/**
 * Fair queueing among the tenants of one service. Each request gets the virtual time at which it would be served if all tenants with
 * waiting requests were served at the same time, each in proportion to its weight. A tenant that sends many times its usual load is thus
 * served behind the others. Answers `TENANT_BURST` and `TWO_TENANT_BURST`.
 */
export class TenantShares {
  private readonly claims = new Map<string, Claim>();

  private virtualTime = 0;

  // Sum of the weights of all claims.
  private totalWeight = 0;

  /**
   * Assigns a request its virtual time.
   * @param flow - Tenant of the request.
   */
  assignStart({ tenant, weight = this.findHeaviest() }: TenantFlow): number {
    const previous = this.claims.get(tenant);
    const start = Math.max(this.virtualTime, previous?.finish ?? 0);
    this.claims.set(tenant, { finish: start + 1 / weight, weight });
    this.totalWeight += weight - (previous?.weight ?? 0);
    return start;
  }

  /** Advances the virtual time, since a request was served. */
  recordServed(): void {
    if (this.claims.size === 0) return;
    this.virtualTime += 1 / this.totalWeight;
    // A tenant whose requests would all have been served has neither a claim nor a debt.
    this.claims.forEach(({ finish, weight }, tenant) => {
      if (finish > this.virtualTime) return;
      this.claims.delete(tenant);
      this.totalWeight -= weight;
    });
    // Differences of rounding must not add up.
    if (this.claims.size === 0) this.totalWeight = 0;
  }

  /**
   * Returns the share of a request that was refused, so that the next requests of its tenant do not yield because of it.
   * @param tenant - Name of the tenant.
   */
  release(tenant: string): void {
    const claim = this.claims.get(tenant);
    if (claim !== undefined) claim.finish = Math.max(this.virtualTime, claim.finish - 1 / claim.weight);
  }

  /** Forgets all claims, since no request waits. */
  clear(): void {
    this.claims.clear();
    this.totalWeight = 0;
  }

  /**
   * Whether a request is beyond the share of its tenant in what is served while a request may wait.
   * @param start - Virtual time of the request.
   * @param servable - Number of requests of all tenants that are served in that time.
   */
  isExcess(start: number, servable: number): boolean {
    return this.claims.size > 0 && start - this.virtualTime > servable / this.totalWeight;
  }

  /** Counts the tenants that are remembered. */
  countTenants(): number {
    return this.claims.size;
  }

  private findHeaviest(): number {
    return [...this.claims.values()].reduce((heaviest, { weight }) => Math.max(heaviest, weight), 0) || DEFAULT_WEIGHT;
  }
}
