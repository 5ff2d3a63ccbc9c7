/* eslint-disable no-await-in-loop -- the steps of a case follow each other in time */
import * as buffer from 'node:buffer';
import process from 'node:process';
import * as timers from 'node:timers/promises';

import * as deploymentModule from '../harness-2/Deployment.mjs';
import * as instanceStandin from '../harness-2/InstanceStandin.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
// `config_apply` of the settings.
const CONFIG_APPLY_MS = 2_000;
const ZONES = ['zone-a', 'zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-b', 'zone-b'];
const VERSIONS = 4;
// Time between the entry of the other writer and the next version.
const BEFORE_MS = 300;
const VERSION_MS = 14_000;
const OBSERVED_MS = 4_500;
const PERIOD_MS = 50;
// The value of the entry stays far below `value_bytes` (1,048,576).
const NAME_LENGTH = 5_000;

const deployment = new deploymentModule.Deployment({ caseFolder: import.meta.dirname, vmCount: ZONES.length, zones: ZONES });
const services = ['service-a', 'service-b'];
const instances = services.map((service) => new instanceStandin.InstanceStandin({
  id: `i-${service}`, service, slots: 40, onRun: (request) => deployment.record(`${request.id} is run by ${service}`),
}));
await Promise.all(instances.map((instance) => deployment.startInstance(instance)));

function publishRoute(version) {
  const service = services[version % 2];
  deployment.publishConfiguration(version, { orders: { prefix: '/orders/', kind: 'unsafe', service } });
  deployment.record(`the store has acknowledged version ${version}, which sends the orders to ${service}`);
  return service;
}

publishRoute(1);
await deployment.start();
await timers.setTimeout(4_000);
await timers.setTimeout(8_000);

function writeOtherEntry(version) {
  const entry = instances[0].buildEntry();
  deployment.store.setItem(`servers/i-other-${version}`, { ...entry, info: { ...entry.info, service: 'x'.repeat(NAME_LENGTH) } });
  deployment.record(`another writer has stored an entry whose service, of ${NAME_LENGTH} characters, is not named in the configuration`);
}

let late = [];
const answers = [];
for (let version = 2; version < 2 + VERSIONS; version += 1) {
  if (TROUBLE) writeOtherEntry(version);
  await timers.setTimeout(BEFORE_MS);
  const service = publishRoute(version);
  const acknowledgedAtMs = deployment.getNowMs();
  const sentAtMs = new Map();
  for (let number = 0; deployment.getNowMs() - acknowledgedAtMs < OBSERVED_MS; number += 1) {
    deployment.hosts.forEach((_, vm) => {
      const id = `order-${version}-${number}-vm-${vm}`;
      sentAtMs.set(id, deployment.getNowMs());
      answers.push(deployment.send({
        vm, method: 'POST', path: '/orders/new', id, body: buffer.Buffer.from('an order'),
      }).then(({ status }) => status === 200 || deployment.record(`${id} answered ${status}`)));
    });
    await timers.setTimeout(PERIOD_MS);
  }
  await Promise.all(answers);
  const old = instances.find((instance) => instance.options.service !== service);
  const found = old.runs.filter((id) => sentAtMs.get(id) - acknowledgedAtMs > CONFIG_APPLY_MS);
  const vms = [...new Set(found.map((id) => id.split('-vm-')[1]))].map((vm) => `vm-${vm}`);
  const latestMs = Math.max(0, ...found.map((id) => sentAtMs.get(id) - acknowledgedAtMs));
  deployment.record(`version ${version}: ${found.length} orders that were sent more than ${CONFIG_APPLY_MS} ms after the acknowledgement were run by the old `
    + `service, by ${vms.join(', ') || 'no VM'}; the latest was sent ${latestMs} ms after it`);
  late = [...late, ...found];
  await timers.setTimeout(VERSION_MS - (deployment.getNowMs() - acknowledgedAtMs));
}
deployment.record(`${late.length} orders were run by an old service in all`);
deployment.finish(late.length > 0 ? 1 : 0);
