/**
 * Formats a chart file as documentation: a Mermaid diagram and the descriptions of its states and transitions.
 */
import type { ChartDefinition, ChartTransition } from './chartTypes.js';

function targetOf(transition: ChartTransition): string {
  return typeof transition === 'string' ? transition : transition.target;
}

function formatTransitions(chart: ChartDefinition, state: string): string[] {
  const events = Object.entries(chart.states[state]?.on ?? {});
  const targets = [
    ...new Set(events.map(([, transition]) => targetOf(transition as ChartTransition))),
  ];
  return targets.map((target) => {
    const names = events
      .filter(([, transition]) => targetOf(transition as ChartTransition) === target)
      .map(([event]) => event);
    return `  ${state} --> ${target}: ${names.join(', ')}`;
  });
}

function formatFinalMarker(chart: ChartDefinition, state: string): string[] {
  return chart.states[state]?.type === 'final' ? [`  ${state} --> [*]`] : [];
}

/** Lists the descriptions of a state and of its transitions; those without a description are left out. */
function formatNotes(chart: ChartDefinition, state: string): string[] {
  const { description, on = {} } = chart.states[state] ?? {};
  const own = description === undefined ? [] : [`- \`${state}\`: ${description}`];
  const transitions = Object.entries(on).flatMap(([event, transition]) =>
    typeof transition === 'object' && transition.description !== undefined
      ? [`- \`${state}\` on \`${event}\`: ${transition.description}`]
      : [],
  );
  return [...own, ...transitions];
}

/**
 * Formats one chart.
 *
 * @param chart - content of a chart file.
 * @returns Markdown with a heading, the diagram and the descriptions.
 */
export function formatChart(chart: ChartDefinition): string {
  const states = Object.keys(chart.states);
  const lines = [
    `## ${chart.id}`,
    '',
    ...(chart.description === undefined ? [] : [chart.description, '']),
    '```mermaid',
    'stateDiagram-v2',
    `  [*] --> ${chart.initial}`,
    ...states.flatMap((state) => [
      ...formatTransitions(chart, state),
      ...formatFinalMarker(chart, state),
    ]),
    '```',
    '',
    ...states.flatMap((state) => formatNotes(chart, state)),
  ];
  return `${lines.join('\n').trimEnd()}\n`;
}
