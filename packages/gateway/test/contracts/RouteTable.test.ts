import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testRoute from '../TestRoute.js';

const TABLE = new gateway.contracts.RouteTable([
  testRoute.buildRoute({ name: 'short', prefix: '/a/' }),
  testRoute.buildRoute({ name: 'long', prefix: '/a/b/' }),
  testRoute.buildRoute({ name: 'other', host: 'b.example', prefix: '/' }),
]);

vitest.describe('RouteTable', () => {
  vitest.it.each([
    ['a.example', '/a/b/c?q=/x/', 'long'],
    ['a.example', '/a/bc', 'short'],
    ['A.example:8080', '/a/', 'short'],
    ['a.example', '/a', undefined],
    ['a.example', '/c/', undefined],
    ['a.example', '/x?/a/b/', undefined],
    ['b.example', '/anything', 'other'],
    ['c.example', '/a/', undefined],
  ])('finds the longest prefix for %s%s', (host, path, expected) => {
    vitest.expect(TABLE.getRoute(host, path)?.name).toBe(expected);
  });
});

vitest.describe('TrafficSplit', () => {
  vitest.it('gives each target its share, as evenly as whole requests allow', () => {
    const split = new gateway.contracts.TrafficSplit([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]);
    split.advance(0.35);
    const chosen = Array.from({ length: 300 }, () => split.chooseService());
    vitest.expect(Math.abs(chosen.filter((service) => service === 'b').length - 30)).toBeLessThanOrEqual(1);
  });

  vitest.it('chooses no service if a route has no target', () => {
    vitest.expect(new gateway.contracts.TrafficSplit([]).chooseService()).toBeUndefined();
  });

  // Guards against requests to a service that a configuration has taken out of a split.
  vitest.it.each([0, 0.4, 0.99])('sends nothing to a target with the weight 0, whatever the start position (%f)', (fraction) => {
    const split = new gateway.contracts.TrafficSplit([{ service: 'out', weight: 0 }, { service: 'a', weight: 3 }, { service: 'b', weight: 1 }]);
    split.advance(fraction);
    const chosen = Array.from({ length: 8 }, () => split.chooseService());
    vitest.expect(chosen.filter((service) => service === 'a')).toHaveLength(6);
    vitest.expect(chosen).not.toContain('out');
  });
});
