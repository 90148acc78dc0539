import type { DecisionInputs } from './decision-inputs.js'

/** What a daemon went by, in words; empty where its log tells of nothing. */
export function showInputs ({ configuration, servers, storeAway }: DecisionInputs): string {
  return [
    ...configuration === undefined ? [] : [`configuration ${configuration.version} for ${configuration.age} ms${showElsewhere(configuration.elsewhere?.version, configuration.elsewhere?.age)}`],
    ...servers.map(({ server, state, age, elsewhere }) => `${server} ${state} for ${age} ms${showElsewhere(elsewhere?.state, elsewhere?.age)}`),
    ...storeAway === undefined ? [] : [`no answer of the store for ${storeAway} ms`]
  ].join(', ')
}

function showElsewhere (value: number | string | undefined, age: number | undefined): string {
  return value === undefined || age === undefined ? '' : ` (elsewhere ${value} for ${age} ms)`
}
