import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('GrayFailureEstimator and EvidenceGossip', () => {
  vitest.it('keeps a high failure probability for the typical length of a gray failure, unless the instance answers again', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2].forEach(() => estimate.recordNoResponse(0.01, 0));
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeGreaterThan(0.6);
    vitest.expect(estimate.estimateFailureProbability(0, 6_000)).toBeGreaterThan(0.4);
    [1, 2, 3, 4, 5, 6].forEach(() => estimate.recordSuccess(0.8, 6_000));
    vitest.expect(estimate.estimateFailureProbability(0, 6_000)).toBeLessThan(0.1);
  });

  vitest.it('does not estimate a high failure probability after a single failure among successes', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2, 3].forEach(() => estimate.recordSuccess(0.8, 0));
    estimate.recordFailure('server-error', 0);
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeLessThan(0.4);
  });

  vitest.it('believes a failure that another VM found over its own earlier successes, and its own later success over the failure', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2, 3].forEach(() => estimate.recordSuccess(0.8, 0));
    estimate.recordPeerEvidence('vm1', 1.5, 100);
    const suspected = estimate.estimateFailureProbability(0, 101);
    vitest.expect(suspected).toBeGreaterThan(0.2);
    estimate.recordSuccess(0.8, 400);
    vitest.expect(estimate.estimateFailureProbability(0, 401)).toBeLessThan(suspected / 3);
  });

  vitest.it('does not count a repeated report of another VM as new evidence', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    estimate.recordPeerEvidence('vm1', 1.5, 0);
    [1, 2, 3].forEach(() => estimate.recordSuccess(0.8, 100));
    estimate.recordPeerEvidence('vm1', 1.6, 200);
    vitest.expect(estimate.estimateFailureProbability(0, 201)).toBeLessThan(0.1);
  });

  vitest.it('gives an instance that has recovered another chance after the usual length of a gray failure', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2, 3].forEach(() => estimate.recordFailure('server-error', 0));
    vitest.expect(estimate.estimateFailureProbability(0, 4_900)).toBeGreaterThan(0.6);
    vitest.expect(estimate.estimateFailureProbability(0, 10_000)).toBeLessThan(0.2);
  });

  vitest.it('counts very late answers as evidence of a gray failure', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2].forEach(() => estimate.recordSuccess(0.005, 0));
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeGreaterThan(0.3);
  });

  vitest.it('sends each change of the number of requests in flight to the other VMs, including the last one to zero', () => {
    const gossip = new gateway.upstreams.EvidenceGossip();
    const build = (inFlight: number): gateway.upstreams.InstanceEvidence[] => [{
      instance: 'i1', service: 's1', deviation: 0, inFlight,
    }];
    vitest.expect(gossip.selectEvidence(build(0), 0)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(1), 100)).toHaveLength(1);
    vitest.expect(gossip.selectEvidence(build(1), 200)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(2), 300)).toHaveLength(1);
    vitest.expect(gossip.hasReported('i1')).toBe(true);
    vitest.expect(gossip.selectEvidence(build(0), 400)).toHaveLength(1);
    vitest.expect(gossip.hasReported('i1')).toBe(false);
  });

  vitest.it('sends high log odds to the other VMs once, and again only after a change', () => {
    const gossip = new gateway.upstreams.EvidenceGossip();
    const build = (deviation: number): gateway.upstreams.InstanceEvidence[] => [{
      instance: 'i1', service: 's1', deviation, inFlight: 0,
    }];
    vitest.expect(gossip.selectEvidence(build(1), 0)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(2), 100)).toHaveLength(1);
    vitest.expect(gossip.selectEvidence(build(2.2), 200)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(0), 300)).toEqual(build(0));
    vitest.expect(gossip.selectEvidence(build(0), 400)).toHaveLength(0);
  });
});
