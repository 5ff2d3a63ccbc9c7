const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;',
};

/** Builds HTML text. Texts are escaped, except for parameters that are documented as HTML. */
export class Html {
  /**
   * Escapes a text for use as element content or attribute value.
   * @param text - Text to escape.
   */
  static encodeText(text: string): string {
    return text.replace(/[&<>"']/g, (character) => ESCAPES[character] ?? '');
  }

  /**
   * Renders a table.
   * @param caption - Caption of the table, which screen readers announce.
   * @param headings - Column headings.
   * @param rows - Cells as plain text.
   */
  static renderTable(caption: string, headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const head = headings.map((heading) => `<th scope="col">${Html.encodeText(heading)}</th>`).join('');
    const body = rows.map((row) => `<tr>${row.map((cell) => `<td>${Html.encodeText(cell)}</td>`).join('')}</tr>`).join('');
    const none = rows.length === 0 ? `<tr><td colspan="${headings.length}">None</td></tr>` : '';
    return `<table><caption>${Html.encodeText(caption)}</caption><thead><tr>${head}</tr></thead><tbody>${body}${none}</tbody></table>`;
  }

  /**
   * Renders a complete page.
   * @param title - Title of the page.
   * @param main - HTML of the main part, inserted without escaping.
   */
  static renderPage(title: string, main: string): string {
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>${Html.encodeText(title)} - tamarackferry console</title><link rel="stylesheet" href="/assets/console.css">
<script src="/assets/console.js" defer></script></head>
<body><a class="skip" href="#main">Skip to content</a>
<header><strong>tamarackferry</strong><nav aria-label="Pages"><a href="/">Document</a><a href="/fleet">Fleet</a><a href="/evidence">Evidence</a></nav></header>
<main id="main"><h1>${Html.encodeText(title)}</h1>${main}</main></body></html>`;
  }
}
