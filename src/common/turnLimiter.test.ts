import { expect, test } from '@jest/globals'
import { createTurnLimiter } from './turnLimiter.js'

test('at most the given number of calls begin in a turn, urgent ones first, others in order', async () => {
  const begun: string[][] = [[]]
  const limiter = createTurnLimiter({ maxPerTurn: 2, isUrgent: key => key.startsWith('urgent') })
  for (const key of ['a', 'b', 'c', 'urgent-a', 'd', 'urgent-b', 'urgent-c']) void limiter.wait(key).then(() => { begun.at(-1)?.push(key) })
  for (let turns = 0; turns < 5; turns++) {
    await new Promise(resolve => { setImmediate(resolve) })
    begun.push([])
  }
  expect(begun).toEqual([['urgent-a', 'urgent-b'], ['urgent-c', 'a'], ['b', 'c'], ['d'], [], []])
})
