// After each change, submits the form to the server for validation and shows the problems next to the inputs.
const form = document.getElementById('document');

async function checkForm() {
  const response = await fetch('/check', { method: 'POST', body: new URLSearchParams(new FormData(form)) });
  if (!response.ok) return;
  const { problems, review } = await response.json();
  const faults = new Map(problems.map((problem) => [problem.field, problem.expected]));
  [...form.querySelectorAll('.fault')].forEach((fault) => {
    const field = fault.id.slice(0, -'.fault'.length);
    const input = document.getElementById(field);
    const expected = faults.get(field);
    fault.replaceChildren(expected === undefined ? '' : `Expected ${expected}`);
    if (expected === undefined) input?.removeAttribute('aria-invalid');
    else input?.setAttribute('aria-invalid', 'true');
  });
  // The server renders the review and escapes all values in it.
  document.getElementById('review').innerHTML = review;
}

form?.addEventListener('change', checkForm);
