import type * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as documents from '../documents/index.js';
import * as fleet from '../fleet/index.js';
import * as pages from '../pages/index.js';

const MAX_BODY_BYTES = 2 ** 20;

const ASSETS = new Map([['/assets/console.css', 'text/css'], ['/assets/console.js', 'text/javascript']]);

/** Options of a `ConsoleServer`. */
export interface ConsoleServerOptions {
  readonly deployment: string;
  readonly host: string;
  readonly port: number;
  readonly platformUrl: string;
  readonly keys: core.contracts.DocumentKeys;
}

/** Response to a request of the browser. */
interface ConsoleResponse {
  readonly status: number;
  readonly type: 'text/html' | 'text/css' | 'text/javascript' | 'application/json' | 'application/toml' | 'text/plain';
  readonly body: string;
  /** File name under which the browser saves the body as a download. */
  readonly fileName?: string;
}

/** Reason why a submitted form is rejected. */
type FormFailure =
  | { readonly type: 'too-large' }
  | { readonly type: 'other-origin' };

/** HTTP server of the web console for operators. It reads from the platform and never writes to it. */
export class ConsoleServer {
  private readonly server: http.Server;

  private readonly publishedDocuments: documents.PublishedDocumentReader;

  private readonly fleetReader: fleet.FleetReader;

  /** @param options - Listening address, platform URL and key pair. */
  constructor(private readonly options: ConsoleServerOptions) {
    this.publishedDocuments = new documents.PublishedDocumentReader(options.platformUrl, options.keys.publicKey);
    this.fleetReader = new fleet.FleetReader(options.platformUrl);
    this.server = http.createServer((request, response) => {
      this.handleRequest(request).then(
        (content) => ConsoleServer.sendResponse(response, content),
        () => ConsoleServer.sendResponse(response, { status: 500, type: 'text/plain', body: 'The request failed with an internal error' }),
      );
    });
  }

  /** Starts listening and resolves to the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : this.options.port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async handleRequest(request: http.IncomingMessage): Promise<ConsoleResponse> {
    const { pathname } = new URL(request.url ?? '/', 'http://console');
    const assetType = ASSETS.get(pathname);
    if (assetType !== undefined) return ConsoleServer.readAsset(pathname, assetType as 'text/css' | 'text/javascript');
    if (request.method === 'GET') return this.handlePageRequest(pathname);
    const form = await ConsoleServer.readForm(request);
    return form.match(
      (value) => this.handleForm(pathname, value),
      async (failure): Promise<ConsoleResponse> => ({ status: failure.type === 'too-large' ? 413 : 403, type: 'text/plain', body: failure.type }),
    );
  }

  private async handlePageRequest(pathname: string): Promise<ConsoleResponse> {
    if (pathname === '/') return this.showPublishedDocument('');
    if (pathname === '/fleet') {
      const results = await this.fleetReader.readStatus();
      return results.match(
        (value) => ConsoleServer.buildPage(new pages.FleetPage(value).render()),
        (detail) => ConsoleServer.buildPage(pages.Html.renderPage('Fleet', `<p class="notice">The list of VMs of the platform could not be read: ${pages.Html.encodeText(detail)}</p>`), 503),
      );
    }
    if (pathname === '/evidence') return ConsoleServer.buildPage(new pages.EvidencePage('', []).render());
    return ConsoleServer.buildPage(pages.Html.renderPage('Not found', '<p>There is no such page.</p>'), 404);
  }

  private async handleForm(pathname: string, form: URLSearchParams): Promise<ConsoleResponse> {
    if (pathname === '/evidence') {
      const member = form.get('member') ?? '';
      const results = await this.fleetReader.readMemberReports(member, form.get('key') ?? '');
      return ConsoleServer.buildPage(new pages.EvidencePage(member, results.unwrapOr([])).render());
    }
    const draft = documents.DocumentDraft.fromForm(form);
    if (pathname === '/check') return this.checkDraft(draft);
    const [action = '', path = ''] = (form.get('action') ?? 'check').split(':');
    if (action === 'add') return this.showDraft(draft.addItem(path), '');
    if (action === 'remove') return this.showDraft(draft.removeItem(path), '');
    if (action === 'seal') return this.sealDraft(draft);
    return this.showDraft(draft, '');
  }

  private async showPublishedDocument(notice: string): Promise<ConsoleResponse> {
    const published = await this.publishedDocuments.read();
    return published.match(
      (value) => this.showDraft(value === undefined
        ? documents.DocumentDraft.createEmpty(this.options.deployment)
        : documents.DocumentDraft.fromFields(value.fields, value.digest), notice),
      async (failure) => ConsoleServer.buildPage(pages.Html.renderPage('Configuration', `<p class="notice" role="alert">${pages.Html.encodeText(ConsoleServer.describeFailure(failure))}</p>
<p>The form builds on the published version and is available once that version can be read. <a href="/">Try again</a></p>`), 503),
    );
  }

  private async checkDraft(draft: documents.DocumentDraft): Promise<ConsoleResponse> {
    const page = await this.buildDocumentPage(draft, '');
    const problems = draft.validate().match(() => [], (found) => found);
    return { status: 200, type: 'application/json', body: JSON.stringify({ problems, review: page.renderReview() }) };
  }

  private async showDraft(draft: documents.DocumentDraft, notice: string, status = 200): Promise<ConsoleResponse> {
    const page = await this.buildDocumentPage(draft, notice);
    return ConsoleServer.buildPage(page.render(), status);
  }

  private async buildDocumentPage(draft: documents.DocumentDraft, notice: string): Promise<pages.DocumentPage> {
    const published = (await this.publishedDocuments.read()).unwrapOr(undefined);
    return draft.validate().match(
      (fields) => new pages.DocumentPage({
        draft, notice, problems: [], changes: documents.DocumentChanges.compare(published?.fields, fields),
      }),
      (problems) => new pages.DocumentPage({
        draft, notice, problems, changes: [],
      }),
    );
  }

  private async sealDraft(draft: documents.DocumentDraft): Promise<ConsoleResponse> {
    const published = await this.publishedDocuments.read();
    if (published.isErr()) return this.showDraft(draft, `${ConsoleServer.describeFailure(published.error)}; nothing was sealed`, 503);
    const digest = published.value?.digest ?? '';
    // Sealing a draft of an older version would silently revert the changes that another operator published since.
    if (digest !== draft.base.digest) {
      const version = published.value?.fields.version ?? 0;
      return this.showDraft(draft, `Version ${version} was published while this form was open; nothing was sealed. Reload the page to start from the new version`, 409);
    }
    return draft.validate().match(
      async (fields): Promise<ConsoleResponse> => ({
        status: 200,
        type: 'application/toml',
        body: ConsoleServer.sealFields(fields, this.options.keys.privateKey),
        fileName: `${fields.deployment}-${fields.version}.toml`,
      }),
      () => this.showDraft(draft, 'The document has invalid fields; nothing was sealed', 422),
    );
  }

  private static sealFields(fields: core.contracts.DocumentFields, privateKey: crypto.KeyObject): string {
    return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode(fields), privateKey);
  }

  private static describeFailure(failure: documents.PublishedDocumentFailure): string {
    return failure.type === 'platform-unreachable'
      ? `The published document could not be read from the platform: ${failure.detail}`
      : `The published document is invalid or was sealed with another key: ${failure.failure.type}`;
  }

  private static async readAsset(pathname: string, type: 'text/css' | 'text/javascript'): Promise<ConsoleResponse> {
    const file = new URL(`../..${pathname}`, import.meta.url);
    return { status: 200, type, body: await fs.readFile(file, 'utf8') };
  }

  private static async readForm(request: http.IncomingMessage): Promise<neverthrow.Result<URLSearchParams, FormFailure>> {
    const { origin, host } = request.headers;
    // Against cross-site request forgery: a page of another site must not be able to seal documents through the browser of an operator.
    if (origin !== undefined && origin !== `http://${host}` && origin !== `https://${host}`) return neverthrow.err({ type: 'other-origin' });
    const chunks: Buffer[] = [];
    let length = 0;

    for await (const chunk of request) {
      length += (chunk as Buffer).length;
      if (length > MAX_BODY_BYTES) return neverthrow.err({ type: 'too-large' });
      chunks.push(chunk as Buffer);
    }
    return neverthrow.ok(new URLSearchParams(Buffer.concat(chunks).toString('utf8')));
  }

  private static buildPage(body: string, status = 200): ConsoleResponse {
    return { status, type: 'text/html', body };
  }

  private static sendResponse(response: http.ServerResponse, content: ConsoleResponse): void {
    response.writeHead(content.status, {
      'content-type': `${content.type}; charset=utf-8`,
      'content-security-policy': "default-src 'self'",
      'x-content-type-options': 'nosniff',
      'cache-control': 'no-store',
      ...(content.fileName === undefined ? {} : { 'content-disposition': `attachment; filename="${content.fileName}"` }),
    });
    response.end(content.body);
  }
}
