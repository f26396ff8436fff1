/** Rate-limits a logger: one token bucket per message text, with a count of the dropped lines. */
import type { Logger } from './logger.js'

/** Maximum number of lines with the same message in a burst. */
const maxBurstLines = 400
/** Sustained number of lines per second with the same message. */
const sustainedLinesPerS = 100

interface Bucket {
  tokens: number
  refilledAtMs: number
  droppedCount: number
}

/** Wraps a logger with the rate limit. Errors are never dropped. */
export function createRateLimitedLogger (target: Logger): Logger {
  const buckets = new Map<string, Bucket>()
  return wrap(target)

  function wrap (logger: Logger): Logger {
    return {
      debug: (message, fields) => { write(logger.debug, message, fields) },
      info: (message, fields) => { write(logger.info, message, fields) },
      warn: (message, fields) => { write(logger.warn, message, fields) },
      error: logger.error,
      withPrefix: prefix => wrap(logger.withPrefix(prefix))
    }
  }

  function write (log: Logger['info'], message: string, fields: object | undefined): void {
    const bucket = getBucket(message)
    if (bucket.tokens < 1) {
      bucket.droppedCount++
      return
    }
    bucket.tokens--
    log(message, bucket.droppedCount === 0 ? fields : { ...fields, droppedBefore: bucket.droppedCount })
    bucket.droppedCount = 0
  }

  function getBucket (message: string): Bucket {
    const nowMs = performance.now()
    let bucket = buckets.get(message)
    if (bucket === undefined) buckets.set(message, bucket = { tokens: maxBurstLines, refilledAtMs: nowMs, droppedCount: 0 })
    bucket.tokens = Math.min(maxBurstLines, bucket.tokens + (nowMs - bucket.refilledAtMs) * sustainedLinesPerS / 1_000)
    bucket.refilledAtMs = nowMs
    return bucket
  }
}
