import { describe, expect, test } from '@jest/globals'
import { explore } from './explorer.js'
import type { Model } from './explorer.js'

/** Two counters modulo 5; each step increases one of them. */
const counters: Model<number[]> = {
  initial: [0, 0],
  clone: state => [...state],
  getKey: state => state.join(),
  advance (state, choose, report) {
    const index = choose([['first', 0], ['second', 1]])
    state[index] = (state[index] as number + 1) % 5
    if (choose([['', false], ['twice', true]])) state[index] = (state[index] as number + 1) % 5
    if (state[0] === 3 && state[1] === 1) report({ class: 'met', steps: 0 })
    return true
  }
}

describe('explorer', () => {
  test('visits each state once and takes each choice, so that nothing reachable is missed', () => {
    const { states, transitions, isComplete } = explore(counters, { maxDepth: 100, maxStates: 1_000 })
    expect({ states, transitions, isComplete }).toEqual({ states: 25, transitions: 100, isComplete: true })
  })

  test('reports a shortest trace, with only the unusual choices', () => {
    const { findings } = explore(counters, { maxDepth: 100, maxStates: 1_000 })
    expect(findings.get('met')?.trace).toEqual(['step 2: twice', 'step 3: second'])
  })

  test('says that states are left when it ends at a bound', () => {
    expect(explore(counters, { maxDepth: 2, maxStates: 1_000 }).isComplete).toBe(false)
    expect(explore(counters, { maxDepth: 100, maxStates: 10 }).isComplete).toBe(false)
  })
})
