import * as clock from '../harness/clock.js';
import * as deployment from '../harness/Deployment.js';
import * as frontMachine from '../harness/FrontMachine.js';
import * as runner from '../harness/runCase.js';

const ZONE_A = 'osr-a';
const ZONE_B = 'osr-b';
const ZONE_C = 'osr-c';
const KILLED = [1, 2, 3, 5].map((number) => `edge-${ZONE_A}-${number}`);
const OBSERVED = `edge-${ZONE_A}-4`;
const CONFIG_APPLY_MS = 2_000;
const DOWN_MS = 2_000;
const SETTLE_MS = 6_000;

const layout = {
  zones: [ZONE_A, ZONE_B, ZONE_C],
  machines: [
    ...[1, 2, 3, 4, 5].map((number) => ({ name: `edge-${ZONE_A}-${number}`, zone: ZONE_A, isSeed: false })),
    ...[1, 2].map((number) => ({ name: `edge-${ZONE_B}-${number}`, zone: ZONE_B, isSeed: true })),
    ...[1, 2].map((number) => ({ name: `edge-${ZONE_C}-${number}`, zone: ZONE_C, isSeed: number === 1 })),
  ],
};

function buildRoutes(service) {
  return {
    'r-main': {
      host: deployment.HOST_NAME, prefix: '/main/', kind: 'unsafe', timeout: '1200ms', target_latency: '500ms', priority: 1, service, max_attempts: 2,
    },
  };
}

await runner.runCase(import.meta.dirname, layout, async (tested, trouble) => {
  const services = ['old', 'new'];
  await Promise.all(services.flatMap((service) => [1, 2].map((number) => tested.startInstance({
    id: `i-${service}-${number}`, service, zone: ZONE_A,
  }))));
  tested.publishConfiguration(7, buildRoutes('old'), services);
  if (!await tested.startMachines()) return { result: 'not-run', text: 'not all machines became ready' };
  await clock.waitMs(SETTLE_MS);
  const { host } = tested.getMachine(OBSERVED).options;
  const sendProbe = () => tested.client.sendRequest({
    host, port: frontMachine.PORTS.front, hostName: deployment.HOST_NAME, path: '/main/1',
  });
  const before = await sendProbe();
  if (before.status !== 200) return { result: 'not-run', text: `a request before the change got ${before.status}` };
  // A new instance registers, as at any moment in a larger deployment.
  await tested.startInstance({ id: 'i-old-3', service: 'old', zone: ZONE_B });
  await clock.waitMs(300);
  if (trouble === 'injected') KILLED.forEach((name) => tested.getMachine(name).sendSignal('SIGKILL'));
  const killedAtMs = clock.getNowMs();
  await clock.waitMs(50);
  const acknowledgedAtMs = tested.publishConfiguration(12, buildRoutes('new'), services);
  const probes = [];
  /* eslint-disable no-await-in-loop */
  for (let number = 0; number < 50; number += 1) {
    await clock.waitUntilMs(acknowledgedAtMs + number * 100);
    probes.push(sendProbe());
    if (trouble === 'injected' && number === Math.ceil(DOWN_MS / 100)) {
      await clock.waitUntilMs(killedAtMs + DOWN_MS);
      KILLED.forEach((name) => tested.getMachine(name).start());
    }
  }
  /* eslint-enable no-await-in-loop */
  const answers = await Promise.all(probes);
  const old = answers.filter((answer) => answer.body?.split(' ')[1] === 'old');
  const late = old.filter((answer) => answer.sentAtMs > acknowledgedAtMs + CONFIG_APPLY_MS);
  const lastMs = old.length === 0 ? 0 : Math.max(...old.map((answer) => answer.sentAtMs)) - acknowledgedAtMs;
  tested.record.write(tested.getMachine(OBSERVED).readLog().split('\n').filter((line) => /configuration-in|fronts-ch|vm-lost|store-/.test(line))
    .join('\n'));
  return {
    result: late.length > 0 ? 'broken' : 'held',
    text: `${late.length} requests sent to ${OBSERVED} later than ${CONFIG_APPLY_MS} ms after the acknowledgement were run by the old service; `
      + `the last request that the old service ran was sent ${Math.round(lastMs)} ms after it`,
  };
});
