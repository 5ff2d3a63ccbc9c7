import type * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

function listConditions(test: testGateway.TestGateway): gateway.callers.LogFields[] {
  return test.outputs.flatMap((output) => (output.type === 'log' && output.event === 'service-condition' ? [output.fields] : []));
}

function endRequests(test: testGateway.TestGateway, statuses: readonly number[]): void {
  statuses.forEach((status) => {
    test.sendRequest();
    test.endAttempt(test.listAttempts().at(-1)!.attemptId, testGateway.TestGateway.buildAnswer(status));
  });
}

vitest.describe('ServiceConditionLog', () => {
  vitest.it('logs how many of the sound instances are used while a service is served poorly, once a second, and when that ends', () => {
    const instances = Array.from({ length: 20 }, (_, index) => testRoute.buildInstance(`i${index}`));
    const test = new testGateway.TestGateway([testRoute.buildRoute()], instances);
    test.timers.advanceTo(10_000);
    endRequests(test, [200, 200, 200, 200, 200, 200, 200, 500, 500, 500]);
    vitest.expect(listConditions(test)).toEqual([vitest.expect.objectContaining({
      service: 's1', condition: 'poor', requests: 10, unserved: 3, ready: 20, sound: 17, required: 14,
    })]);
    vitest.expect(listConditions(test)[0]!['used']).toBeLessThan(14);
    test.timers.advanceTo(10_900);
    endRequests(test, [500]);
    vitest.expect(listConditions(test).length).toBe(1);
    test.timers.advanceTo(11_100);
    endRequests(test, [500]);
    vitest.expect(listConditions(test).length).toBe(2);
    test.timers.advanceTo(14_000);
    endRequests(test, [200]);
    vitest.expect(listConditions(test).map((fields) => fields['condition'])).toEqual(['poor', 'poor', 'good']);
  });
});
