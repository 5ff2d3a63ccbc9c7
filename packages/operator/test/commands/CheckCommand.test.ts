import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as core from '@tamarackferry/core';
import * as operator from '@tamarackferry/operator';
import * as vitest from 'vitest';

interface CommandRun {
  readonly code: number;
  readonly lines: readonly string[];
}

async function runCommand(build: (output: operator.commands.CommandOutput) => operator.commands.Command): Promise<CommandRun> {
  const lines: string[] = [];
  const code = await build({ printLine: (line) => lines.push(line), printError: (line) => lines.push(line) }).run();
  return { code, lines };
}

vitest.describe('CheckCommand', () => {
  let directory: string;

  vitest.beforeEach(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'check-'));
  });

  vitest.afterEach(() => fs.rm(directory, { recursive: true }));

  async function checkText(text: string, publicKeyFile?: string): Promise<CommandRun> {
    const file = path.join(directory, 'document.toml');
    await fs.writeFile(file, text);
    return runCommand((output) => new operator.commands.CheckCommand({ file, publicKeyFile, output }));
  }

  vitest.it('rejects the seal of a document edited after sealing and accepts an unedited one, with keys from KeysCommand', async () => {
    const keysRun = await runCommand((output) => new operator.commands.KeysCommand(directory, output));
    vitest.expect(keysRun.code).toBe(0);
    const keys = core.contracts.DocumentKeys.fromPrivateKey(
      (await import('node:crypto')).createPrivateKey(await fs.readFile(path.join(directory, 'console-private.pem'))),
    );
    const draft = operator.documents.DocumentDraft.createEmpty('test').validate();
    vitest.expect(draft.isErr()).toBe(true);
    const text = core.contracts.DocumentSeal.sealText('format = 1\n', keys.privateKey);
    const publicKeyFile = path.join(directory, 'console-public.txt');
    const edited = await checkText(text.replace('1', '2'), publicKeyFile);
    vitest.expect(edited).toMatchObject({ code: 1 });
    vitest.expect(edited.lines[0]).toContain('seal does not match');
    vitest.expect((await checkText(text, publicKeyFile)).lines[0]).toContain('field deployment');
  });

  vitest.it('does not overwrite existing keys (guards against entry VMs rejecting all documents sealed with the new key)', async () => {
    await runCommand((output) => new operator.commands.KeysCommand(directory, output));
    vitest.expect((await runCommand((output) => new operator.commands.KeysCommand(directory, output))).code).toBe(1);
  });

  vitest.it('reports the line of a syntax error and exits with 1', async () => {
    const run = await checkText('format = 1\ndeployment = \n');
    vitest.expect(run.code).toBe(1);
    vitest.expect(run.lines[0]).toContain('line 2');
  });

  vitest.it('exits with 2 for a file that cannot be read', async () => {
    const run = await runCommand((output) => new operator.commands.CheckCommand({
      file: path.join(directory, 'missing.toml'), publicKeyFile: undefined, output,
    }));
    vitest.expect(run.code).toBe(2);
  });
});
