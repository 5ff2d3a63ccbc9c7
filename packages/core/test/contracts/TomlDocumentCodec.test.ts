import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

const KEYS = core.contracts.DocumentKeys.fromText('codec-test');
const CODEC = new core.contracts.TomlDocumentCodec(KEYS.publicKey);

const FIELDS: core.contracts.DocumentFields = {
  format: 1,
  deployment: 'test',
  version: 3,
  base_digest: '',
  places: [{ name: 'a', region: 'r' }],
  services: ['first', 'second'].map((name) => ({
    name,
    floor_instances: 1,
    slots_per_instance: 4,
    connections_per_instance: 10,
    detection: 'cautious',
    request_id_echo: 'echoed',
    not_run_answers: 'declared',
    answer_digest: 'absent',
    kinds: [{
      name: 'status', method: 'GET', path_prefix: '/', repeatability: 'idempotent', priority: 'interactive', weight: 1, deadline_ms: 2_000, on_time_ms: 500,
    }],
  })),
  members: [{
    name: 'museum', counting: 'weighted-on-time', share: 1, key_digest: '',
  }],
};

function sealFields(fields: core.contracts.DocumentFields): string {
  return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode(fields), KEYS.privateKey);
}

vitest.describe('TomlDocumentCodec', () => {
  vitest.it('decodes what it encoded (guards against fields lost between console and entry)', () => {
    const document = CODEC.decode(sealFields(FIELDS))._unsafeUnwrap();
    vitest.expect(document.reference.version).toBe(3);
    vitest.expect(document.services.map((service) => service.kinds[0]?.onTimeMs)).toEqual([500, 500]);
  });

  vitest.it('refuses a manually edited document (guards against a change that was not made in the console)', () => {
    const edited = sealFields(FIELDS).replace('floor_instances = 1', 'floor_instances = 0');
    vitest.expect(CODEC.decode(edited)._unsafeUnwrapErr()).toEqual({ type: 'seal-invalid' });
  });

  vitest.it('refuses a document without a seal and one that is sealed with another key (guards against documents from other sources)', () => {
    const text = core.contracts.TomlDocumentCodec.encode(FIELDS);
    const other = core.contracts.DocumentSeal.sealText(text, core.contracts.DocumentKeys.fromText('other').privateKey);
    vitest.expect(CODEC.decode(text)._unsafeUnwrapErr()).toEqual({ type: 'seal-missing' });
    vitest.expect(CODEC.decode(other)._unsafeUnwrapErr()).toEqual({ type: 'seal-invalid' });
  });

  vitest.it('reports the field, line and value of an error (guards against errors that operators cannot locate)', () => {
    const text = core.contracts.TomlDocumentCodec.encode(FIELDS);
    const position = text.indexOf('deadline_ms = 2000', text.indexOf('name = "second"'));
    const wrong = `${text.slice(0, position)}deadline_ms = "soon"${text.slice(position + 'deadline_ms = 2000'.length)}`;
    const failure = new core.contracts.TomlDocumentCodec(undefined).decode(wrong)._unsafeUnwrapErr();
    const line = wrong.split('\n').findIndex((content) => content.includes('"soon"')) + 1;
    vitest.expect(failure).toMatchObject({
      type: 'field', field: 'services.1.kinds.0.deadline_ms', line, found: '"soon"',
    });
  });
});
