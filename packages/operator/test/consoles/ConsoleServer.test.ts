import * as core from '@tamarackferry/core';
import * as operator from '@tamarackferry/operator';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

const KEYS = core.contracts.DocumentKeys.fromText('console-test');
const CODEC = new core.contracts.TomlDocumentCodec(KEYS.publicKey);

function buildForm(page: string): URLSearchParams {
  const inputs = [...page.matchAll(/<input type="[a-z]+" [^>]*?name="([^"]+)"[^>]*?value="([^"]*)"/g)].map((match) => [match[1]!, match[2]!]);
  const hidden = [...page.matchAll(/<input type="hidden" name="([^"]+)" value="([^"]*)"/g)].map((match) => [match[1]!, match[2]!]);
  const selects = [...page.matchAll(/<select [^>]*?name="([^"]+)"[^>]*>(.*?)<\/select>/g)]
    .map((match) => [match[1]!, /<option selected>([^<]*)/.exec(match[2]!)?.[1] ?? '']);
  return new URLSearchParams([...inputs, ...hidden, ...selects] as [string, string][]);
}

function fillForm(page: string, floorInstances: string): URLSearchParams {
  const form = buildForm(page);
  form.set('places.0.name', 'a');
  form.set('places.0.region', 'r');
  form.set('services.0.name', 'orders');
  form.set('services.0.floor_instances', floorInstances);
  form.set('services.0.kinds.0.name', 'status');
  form.set('members.0.name', 'museum');
  return form;
}

vitest.describe('ConsoleServer', () => {
  let platform: standins.platform.PlatformStandin;
  let server: operator.consoles.ConsoleServer;
  let url: string;

  vitest.beforeEach(async () => {
    platform = new standins.platform.PlatformStandin();
    server = new operator.consoles.ConsoleServer({
      deployment: 'test', host: '127.0.0.1', port: 0, platformUrl: await platform.listen(), keys: KEYS,
    });
    url = `http://127.0.0.1:${await server.listen()}`;
  });

  vitest.afterEach(async () => {
    await server.close();
    await platform.close();
  });

  async function readPage(): Promise<string> {
    return (await undici.request(`${url}/`)).body.text();
  }

  async function postForm(path: string, form: URLSearchParams): Promise<{ readonly status: number; readonly text: string }> {
    const response = await undici.request(`${url}${path}`, { method: 'POST', body: form.toString() });
    return { status: response.statusCode, text: await response.body.text() };
  }

  vitest.it('seals a document built from a valid form, and entry VMs accept it (guards against sealed documents that entry VMs refuse)', async () => {
    const form = fillForm(await readPage(), '3');
    form.set('action', 'seal');
    const sealed = await postForm('/', form);
    vitest.expect(sealed.status).toBe(200);
    const document = CODEC.decode(sealed.text)._unsafeUnwrap();
    vitest.expect(document.reference.version).toBe(1);
    vitest.expect(document.services[0]?.floorInstances).toBe(3);
  });

  vitest.it('does not seal a document with an invalid field and reports that field (guards against sealing invalid documents)', async () => {
    const form = fillForm(await readPage(), 'many');
    form.set('action', 'seal');
    const refused = await postForm('/', form);
    vitest.expect(refused.status).toBe(422);
    vitest.expect(refused.text).toContain('services.0.floor_instances');
    const checked = JSON.parse((await postForm('/check', form)).text) as { problems: { field: string }[] };
    vitest.expect(checked.problems.map((problem) => problem.field)).toEqual(['services.0.floor_instances']);
  });

  vitest.it('does not seal a document if a newer version was published meanwhile (guards against reverting the changes of another operator)', async () => {
    const form = fillForm(await readPage(), '3');
    form.set('action', 'seal');
    platform.publishDocument((await postForm('/', form)).text);
    const outdated = await postForm('/', form);
    vitest.expect(outdated.status).toBe(409);
    const reloaded = fillForm(await readPage(), '4');
    reloaded.set('action', 'seal');
    const next = CODEC.decode((await postForm('/', reloaded)).text)._unsafeUnwrap();
    vitest.expect(next.reference.version).toBe(2);
  });

  vitest.it('adds and removes list items and keeps the values of the other inputs', async () => {
    const form = fillForm(await readPage(), '3');
    form.set('action', 'add:services.0.kinds');
    const added = buildForm((await postForm('/', form)).text);
    vitest.expect(added.get('services.0.kinds.length')).toBe('2');
    vitest.expect(added.get('services.0.name')).toBe('orders');
    added.set('action', 'remove:services.0.kinds.0');
    vitest.expect(buildForm((await postForm('/', added)).text).get('services.0.kinds.length')).toBe('1');
  });

  vitest.it('makes the check button the first submit button, which Enter activates (guards against Enter removing an item)', async () => {
    const page = await readPage();
    vitest.expect(/<button name="action" value="([^"]+)"/.exec(page)?.[1]).toBe('check');
  });

  vitest.it('does not seal a document if the platform is unreachable (guards against restarting the versions at 1)', async () => {
    const form = fillForm(await readPage(), '3');
    form.set('action', 'seal');
    await platform.close();
    vitest.expect((await postForm('/', form)).status).toBe(503);
  });

  vitest.it('refuses forms from other origins (guards against cross-site request forgery)', async () => {
    const response = await undici.request(`${url}/`, { method: 'POST', headers: { origin: 'http://example.org' }, body: 'action=seal' });
    await response.body.dump();
    vitest.expect(response.statusCode).toBe(403);
  });
});
