/** Rate limiting of log output: repeated messages are dropped and the number of dropped lines is logged. */
import { expect, jest, test } from '@jest/globals'
import { createRateLimitedLogger } from './rateLimitedLogger.js'
import type { Logger } from './logger.js'

test('lines of one message above the limit are dropped and counted; other messages and errors are not affected', () => {
  jest.useFakeTimers()
  const lines: { readonly message: string, readonly fields: object | undefined }[] = []
  const write = (message: string, fields?: object): void => { lines.push({ message, fields }) }
  const collecting: Logger = { debug: write, info: write, warn: write, error: write, withPrefix: () => collecting }
  const logger = createRateLimitedLogger(collecting)
  for (let index = 0; index < 10_000; index++) logger.info('flood', { index })
  logger.info('other')
  for (let index = 0; index < 1_000; index++) logger.error('fault')
  expect(lines.filter(line => line.message === 'flood')).toHaveLength(400)
  expect(lines.filter(line => line.message === 'other')).toHaveLength(1)
  expect(lines.filter(line => line.message === 'fault')).toHaveLength(1_000)
  jest.advanceTimersByTime(1_000)
  logger.info('flood')
  expect(lines.at(-1)?.fields).toMatchObject({ droppedBefore: 9_600 })
  jest.useRealTimers()
})
