import type * as documents from '../documents/index.js';
import * as sections from '../documents/draftSections.js';
import * as html from './Html.js';

/** Content of a `DocumentPage`. */
export interface DocumentPageOptions {
  readonly draft: documents.DocumentDraft;
  readonly problems: readonly documents.DraftProblem[];
  readonly changes: readonly documents.DocumentChange[];
  /** Message above the form; empty if there is none. */
  readonly notice: string;
}

// On Enter, browsers activate the first submit button of a form. Without this hidden button, Enter would remove the first place.
const DEFAULT_BUTTON = '<button name="action" value="check" formnovalidate class="default" tabindex="-1" aria-hidden="true">Check</button>';

/** Renders the form of a configuration document. */
export class DocumentPage {
  /** @param options - Draft, its problems and changes, and a message. */
  constructor(private readonly options: DocumentPageOptions) {}

  /** Returns the page as HTML. */
  render(): string {
    const { base } = this.options.draft;
    const { notice, draft } = this.options;
    const title = `Configuration of ${base.deployment}`;
    const baseText = base.version === 0 ? 'No version is published yet.' : `Based on published version ${base.version}.`;
    return html.Html.renderPage(title, `
<p>${baseText} Sealing creates version ${base.version + 1}; publish the file through version control.</p>
${notice === '' ? '' : `<p class="notice" role="alert">${html.Html.encodeText(notice)}</p>`}
<form id="document" method="post" action="/">
${DEFAULT_BUTTON}
${DocumentPage.renderHidden('base.deployment', base.deployment)}
${DocumentPage.renderHidden('base.version', String(base.version))}
${DocumentPage.renderHidden('base.digest', base.digest)}
${sections.DRAFT_SECTIONS.map((section) => this.renderSection(section, section.key, draft)).join('')}
<div id="review" aria-live="polite">${this.renderReview()}</div>
<p class="actions"><button name="action" value="check" formnovalidate>Check</button>
<button name="action" value="seal" class="primary">Seal and download</button></p>
</form>`);
  }

  /** Renders the problems or the changes of the draft. The browser also requests this part alone to update it while the form is edited. */
  renderReview(): string {
    const { problems, changes, draft } = this.options;
    const problemList = problems.length === 0
      ? '<p class="ok">All fields are valid.</p>'
      : `<h2>Problems</h2><ul class="problems">${problems.map((problem) => `<li><a href="#${html.Html.encodeText(problem.field)}">`
        + `${html.Html.encodeText(problem.field)}</a>: found ${html.Html.encodeText(problem.found)}, `
        + `expected ${html.Html.encodeText(problem.expected)}</li>`).join('')}</ul>`;
    const heading = draft.base.version === 0 ? 'New document' : `Changes since version ${draft.base.version}`;
    if (problems.length > 0) return problemList;
    const table = changes.length === 0
      ? '<p>No changes.</p>'
      : html.Html.renderTable(heading, ['Change', 'Field', 'Published', 'New'], changes.map((change) => (
        [change.type, change.path, change.before, change.after])));
    return `${problemList}<h2>Review</h2>${table}`;
  }

  private renderSection(section: documents.DraftSection, path: string, draft: documents.DocumentDraft): string {
    const items = draft.getItems(path);
    const problem = this.options.problems.find((candidate) => candidate.field === path);
    return `<section id="${path}"><h2>${section.title}</h2>${DocumentPage.renderProblem(path, problem)}
${DocumentPage.renderHidden(`${path}.length`, String(items.length))}
${items.map((item, index) => this.renderItem(section, `${path}.${index}`, item, draft)).join('')}
<button name="action" value="add:${path}" formnovalidate>Add ${section.itemLabel}</button></section>`;
  }

  private renderItem(section: documents.DraftSection, path: string, item: documents.DraftItem, draft: documents.DocumentDraft): string {
    const name = item.inputValues['name'] === '' ? `new ${section.itemLabel}` : item.inputValues['name'] ?? '';
    return `<fieldset><legend>${section.itemLabel} ${html.Html.encodeText(name)}</legend><div class="fields">
${section.fields.map((field) => this.renderField(field, `${path}.${field.key}`, item.inputValues[field.key] ?? '')).join('')}</div>
${section.sections.map((inner) => this.renderSection(inner, `${path}.${inner.key}`, draft)).join('')}
<button name="action" value="remove:${path}" formnovalidate class="remove">Remove ${section.itemLabel} ${html.Html.encodeText(name)}</button></fieldset>`;
  }

  private renderField(field: documents.DraftField, path: string, text: string): string {
    const problem = this.options.problems.find((candidate) => candidate.field === path);
    const attributes = `id="${path}" name="${path}" aria-describedby="${path}.hint ${path}.fault"${problem === undefined ? '' : ' aria-invalid="true"'}`;
    return `<label for="${path}">${field.label}${DocumentPage.renderInput(field, attributes, text)}
<small id="${path}.hint">${html.Html.encodeText(field.hint)}</small>${DocumentPage.renderProblem(path, problem)}</label>`;
  }

  private static renderInput(field: documents.DraftField, attributes: string, text: string): string {
    if (field.input === 'choice') {
      const choices = (field.choices ?? []).map((choice) => `<option${choice === text ? ' selected' : ''}>${choice}</option>`).join('');
      return `<select ${attributes}>${choices}</select>`;
    }
    const type = field.input === 'text' ? 'text' : 'number';
    const step = field.input === 'number' ? ' step="any"' : '';
    const minimum = field.minimum === undefined ? '' : ` min="${field.minimum}"`;
    const pattern = field.pattern === undefined ? '' : ` pattern="${html.Html.encodeText(field.pattern)}"`;
    return `<input type="${type}" ${attributes}${step}${minimum}${pattern} value="${html.Html.encodeText(text)}">`;
  }

  private static renderProblem(path: string, problem: documents.DraftProblem | undefined): string {
    const text = problem === undefined ? '' : `Expected ${html.Html.encodeText(problem.expected)}`;
    return `<span class="fault" id="${path}.fault">${text}</span>`;
  }

  private static renderHidden(name: string, value: string): string {
    return `<input type="hidden" name="${name}" value="${html.Html.encodeText(value)}">`;
  }
}
