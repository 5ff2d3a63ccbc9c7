import type * as draftField from './DraftField.js';

const NAME_PATTERN = '[a-z0-9][a-z0-9\\-]{0,62}';

const NAME: draftField.DraftField = {
  key: 'name', label: 'Name', hint: 'lower-case letters, digits and hyphens', input: 'text', initial: '', pattern: NAME_PATTERN,
};

const KINDS: draftField.DraftSection = {
  key: 'kinds',
  title: 'Request kinds',
  itemLabel: 'kind',
  sections: [],
  fields: [
    NAME,
    {
      key: 'method', label: 'Method', hint: 'HTTP method', input: 'choice', choices: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'], initial: 'GET',
    },
    {
      key: 'path_prefix', label: 'Path prefix', hint: 'the longest matching prefix applies', input: 'text', initial: '/', pattern: '/.*',
    },
    {
      key: 'repeatability',
      label: 'Repeatability',
      hint: 'non-idempotent: run at most once',
      input: 'choice',
      choices: ['idempotent', 'non-idempotent'],
      initial: 'idempotent',
    },
    {
      key: 'priority', label: 'Priority', hint: 'interactive requests are served first', input: 'choice', choices: ['interactive', 'background'], initial: 'interactive',
    },
    {
      key: 'weight', label: 'Weight', hint: 'in weighted counts', input: 'number', initial: '1', minimum: 0,
    },
    {
      key: 'deadline_ms', label: 'Deadline', hint: 'ms, used if the caller sends none', input: 'integer', initial: '2000', minimum: 1,
    },
    {
      key: 'on_time_ms', label: 'On time', hint: 'ms, at most the deadline', input: 'integer', initial: '500', minimum: 1,
    },
  ],
};

/** Sections of a configuration document, in the order of the document form. */
export const DRAFT_SECTIONS: readonly draftField.DraftSection[] = [
  {
    key: 'places',
    title: 'Places',
    itemLabel: 'place',
    sections: [],
    fields: [NAME, {
      key: 'region', label: 'Region', hint: 'region of the place', input: 'text', initial: '', pattern: NAME_PATTERN,
    }],
  },
  {
    key: 'services',
    title: 'Services',
    itemLabel: 'service',
    sections: [KINDS],
    fields: [
      NAME,
      {
        key: 'floor_instances', label: 'Capacity floor', hint: 'minimum number of instances in rotation', input: 'integer', initial: '1', minimum: 0,
      },
      {
        key: 'slots_per_instance', label: 'Slots', hint: 'concurrent requests per instance', input: 'integer', initial: '4', minimum: 1,
      },
      {
        key: 'connections_per_instance', label: 'Connections', hint: 'per instance, over all VMs', input: 'integer', initial: '300', minimum: 1,
      },
      {
        key: 'detection',
        label: 'Detection policy',
        hint: 'cautious: few false ejections; prompt: fast detection',
        input: 'choice',
        choices: ['cautious', 'prompt', 'no-ejection', 'consecutive-errors', 'outlier-percentage'],
        initial: 'cautious',
      },
      {
        key: 'request_id_echo', label: 'Request id', hint: 'echoed in answers', input: 'choice', choices: ['echoed', 'absent'], initial: 'echoed',
      },
      {
        key: 'not_run_answers', label: 'Not-run answers', hint: 'declared by header', input: 'choice', choices: ['declared', 'absent'], initial: 'declared',
      },
      {
        key: 'answer_digest', label: 'Answer digest', hint: 'content-digest header', input: 'choice', choices: ['sent', 'absent'], initial: 'absent',
      },
    ],
  },
  {
    key: 'members',
    title: 'Members',
    itemLabel: 'member',
    sections: [],
    fields: [
      NAME,
      {
        key: 'counting',
        label: 'Counting',
        hint: 'how requests of the member are counted',
        input: 'choice',
        choices: ['weighted-on-time', 'lookups-on-time'],
        initial: 'weighted-on-time',
      },
      {
        key: 'share', label: 'Share', hint: 'relative share of admitted requests', input: 'number', initial: '1', minimum: 0.01,
      },
      {
        key: 'key_digest', label: 'Key digest', hint: 'SHA-256 in hexadecimal, or empty', input: 'text', initial: '', pattern: '([0-9a-f]{64})?',
      },
    ],
  },
];
