import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('GrayEstimate', () => {
  vitest.it('remembers a silent instance for the length of a gray spell, unless it answers again', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2].forEach(() => estimate.recordNoResponse(0.01, 0));
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeGreaterThan(0.6);
    vitest.expect(estimate.estimateFailureProbability(0, 6_000)).toBeGreaterThan(0.4);
    [1, 2, 3, 4, 5, 6].forEach(() => estimate.recordSuccess(0.8, 6_000));
    vitest.expect(estimate.estimateFailureProbability(0, 6_000)).toBeLessThan(0.1);
  });

  vitest.it('does not condemn an instance for one failure of its own', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2, 3].forEach(() => estimate.recordSuccess(0.8, 0));
    estimate.recordFailure(0);
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeLessThan(0.4);
  });

  vitest.it('takes answers that come far too late for a bad sign', () => {
    const estimate = new gateway.upstreams.GrayFailureEstimator(0);
    [1, 2].forEach(() => estimate.recordSuccess(0.005, 0));
    vitest.expect(estimate.estimateFailureProbability(0, 0)).toBeGreaterThan(0.3);
  });

  vitest.it('tells others each change of what it has in flight, to its end', () => {
    const gossip = new gateway.upstreams.EvidenceGossip();
    const build = (inFlight: number): gateway.upstreams.InstanceEvidence[] => [{
      instance: 'i1', service: 's1', deviation: 0, inFlight,
    }];
    vitest.expect(gossip.selectEvidence(build(0), 0)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(1), 100)).toHaveLength(1);
    vitest.expect(gossip.selectEvidence(build(1), 200)).toHaveLength(0);
    vitest.expect(gossip.selectEvidence(build(2), 300)).toHaveLength(1);
    vitest.expect(gossip.hasReported()).toBe(true);
    vitest.expect(gossip.selectEvidence(build(0), 400)).toHaveLength(1);
    vitest.expect(gossip.hasReported()).toBe(false);
  });

  vitest.it('tells others of strong beliefs once, and of their change', () => {
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
