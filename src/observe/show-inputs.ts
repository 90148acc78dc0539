import type { DecisionInputs } from './decision-inputs.js'

/** Formats the state that a daemon used; empty if its log shows none. */
export function showInputs ({ configuration, servers, storeAway }: DecisionInputs): string {
  return [
    ...configuration === undefined ? [] : [`configuration ${configuration.version} for ${configuration.age} ms${showElsewhere(configuration.elsewhere?.version, configuration.elsewhere?.age)}`],
    ...servers.map(({ server, state, age, elsewhere }) => `${server} ${state} for ${age} ms${showElsewhere(elsewhere?.state, elsewhere?.age)}`),
    ...storeAway === undefined ? [] : [`store unavailable for ${storeAway} ms`]
  ].join(', ')
}

function showElsewhere (value: number | string | undefined, age: number | undefined): string {
  return value === undefined || age === undefined ? '' : ` (elsewhere ${value} for ${age} ms)`
}
