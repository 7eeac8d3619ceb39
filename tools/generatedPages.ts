/**
 * The pages that are generated from the code.
 */
import { format, resolveConfig } from 'prettier';

import { formatChart } from '../src/charts/formatChart.js';
import { ALL_FEATURES } from '../src/features/allFeatures.js';
import { ROUTER_FEATURES } from '../src/features/routerFeatures.js';
import { formatLogCatalogue } from '../src/logging/logCatalogue.js';
import { formatSettingsReference } from '../src/settings/settingsReference.js';
import { readChartFiles } from './chartFiles.js';

/** A generated page. */
export interface GeneratedPage {
  /** Path relative to the root. */
  readonly path: string;
  /** Formatted content. */
  readonly content: string;
}

function formatChartPage(): string {
  const charts = readChartFiles().map(
    ({ path, chart }) => `${formatChart(chart)}\nFile: \`${path}\`.\n`,
  );
  const introduction = [
    '# State charts',
    '',
    'Generated from the chart files by `npm run docs`; do not edit by hand. The program interprets these files.',
    'An event that a state does not name changes nothing and is reported to the code that sent it.',
    '',
  ];
  return [...introduction, ...charts].join('\n');
}

/**
 * Generates all pages.
 *
 * @returns The pages with their expected content.
 */
export async function generatePages(): Promise<GeneratedPage[]> {
  const drafts = [
    {
      path: 'docs/LOG_EVENTS.md',
      content: formatLogCatalogue([...ALL_FEATURES, ...ROUTER_FEATURES]),
    },
    { path: 'docs/SETTINGS.md', content: formatSettingsReference(ALL_FEATURES) },
    {
      path: 'docs/SETTINGS_ROUTER.md',
      content: formatSettingsReference(ROUTER_FEATURES.slice(0, 1)),
    },
    { path: 'docs/STATE_CHARTS.md', content: formatChartPage() },
  ];
  return Promise.all(
    drafts.map(async ({ path, content }) => ({
      path,
      content: await format(content, { ...(await resolveConfig(path)), filepath: path }),
    })),
  );
}
