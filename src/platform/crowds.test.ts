/**
 * Clients that do not behave, one kind at a time, against the built daemon as its own process. Whatever they do, the process lives, its memory and
 * its descriptors stay under a bound, and an ordinary request is answered while the crowd stays connected.
 */
import { connect } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { startCrowd } from './testing/crowd.js'
import type { Crowd, CrowdPlan } from './testing/crowd.js'
import { callersPort, crowdHostName, crowdKey, crowdPrefix, maxBodyBytes, metricsPort, peersPort, readyPort, startCrowdedHost } from './testing/crowdedHost.js'
import type { CrowdedHost } from './testing/crowdedHost.js'

/** An idle host uses 80 to 90 MB. */
const limits = { heapMb: 64, memoryMb: 160, maxDescriptors: 400 }
const jobBody = JSON.stringify({ spec: 'x'.repeat(3_900), phases: [{ count: 1, cpu: 100, memMb: 1, estimateMs: 10, selector: 'none' }] })
const submissionHead = `POST ${crowdPrefix}00000000000000c1 HTTP/1.1\r\nHost: ${crowdHostName}\r\nAPI-Key: ${crowdKey}\r\nContent-Type: application/json\r\n`
const chunkedHead = `${submissionHead}Transfer-Encoding: chunked\r\n\r\n`
const stateQuery = `GET ${crowdPrefix}00000000000000c2 HTTP/1.1\r\nHost: ${crowdHostName}\r\nAPI-Key: ${crowdKey}\r\nUser-Agent: crowd\r\nAccept: application/json\r\n\r\n`
const submission = `${submissionHead}Content-Length: ${Buffer.byteLength(jobBody)}\r\n\r\n${jobBody}`

const largeChunk = `8000\r\n${'x'.repeat(32_768)}\r\n`
/** Seven chunks of 32 KB and one of 31 KB: 261,120 bytes, just below the configuration's limit of a body. */
const unendedLargeChunks = Buffer.from(`${chunkedHead}${largeChunk.repeat(7)}7c00\r\n${'x'.repeat(31_744)}\r\n`)
const unendedSmallChunks = Buffer.from(chunkedHead + '1\r\nx\r\n'.repeat(100_000))

let host: CrowdedHost | undefined
let crowd: Crowd | undefined
let hostIndex = 0

afterEach(async () => {
  crowd?.close()
  await host?.stop()
})

async function meetCrowd (plan: Omit<CrowdPlan, 'host' | 'port'>, port = callersPort): Promise<void> {
  const started = host = await startCrowdedHost(limits, hostIndex++)
  crowd = startCrowd({ host: started.ip, port, ...plan })
  await crowd.settle()
  const duringUse = started.getUse()
  const isSubmitted = await started.isServed('POST', `${crowdPrefix}00000000000000a1`, jobBody)
  const isFound = await started.isServed('GET', `${crowdPrefix}00000000000000a1`)
  const use = started.getUse()
  if (process.env.SASSAFRASFORD_CROWD_FIGURES !== undefined) console.error(JSON.stringify({ test: expect.getState().currentTestName, duringUse, use, isUp: started.isUp(), isSubmitted, isFound, closed: crowd.countClosed() }))
  expect({ isUp: started.isUp(), isSubmitted, isFound }).toEqual({ isUp: true, isSubmitted: true, isFound: true })
  expect(use?.peakMemoryMb).toBeLessThan(limits.memoryMb)
  expect(duringUse?.descriptors).toBeLessThan(limits.maxDescriptors)
}

test('bodies in large chunks that never end do not use up the memory', async () => {
  await meetCrowd({ connections: 600, payload: unendedLargeChunks })
})

test('bodies in chunks of one byte that never end do not use up the memory', async () => {
  await meetCrowd({ connections: 12, payload: unendedSmallChunks })
})

test('requests sent ahead without a Host header, whose answers are not read, do not use up the memory', async () => {
  await meetCrowd({ connections: 120, payload: Buffer.from('GET / HTTP/1.1\r\n\r\n'.repeat(20_000)) })
})

test('queries sent ahead, whose answers are not read, do not use up the memory', async () => {
  await meetCrowd({ connections: 50, payload: Buffer.from(stateQuery.repeat(8_000)) })
})

test('submissions sent ahead, whose answers are not read, do not use up the memory', async () => {
  await meetCrowd({ connections: 50, payload: Buffer.from(submission.repeat(500)) })
})

test('very many connections, half of which leave early, with heads that never end, do not use up the descriptors', async () => {
  await meetCrowd({ connections: 1_000, payload: Buffer.from(`GET ${crowdPrefix} HTTP/1.1\r\nHost: ${crowdHostName}\r\n`), leavesEarly: index => index % 2 === 1 })
})

test('bodies of peer calls that never end do not use up the memory', async () => {
  const head = 'POST /rpc HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n'
  await meetCrowd({ connections: 60, payload: Buffer.from(head + largeChunk.repeat(120)) }, peersPort)
})

test('very many connections to the ready address do not use up the descriptors', async () => {
  await meetCrowd({ connections: 600, payload: Buffer.from('GET / HTTP/1.1\r\nHost: ready\r\n') }, readyPort)
})

test('requests sent ahead to the metrics address, whose answers are not read, do not use up the memory', async () => {
  await meetCrowd({ connections: 40, payload: Buffer.from('GET /metrics HTTP/1.1\r\nHost: host\r\n\r\n'.repeat(10_000)) }, metricsPort)
})

test('a single body within the limits, in chunks of one byte, is served', async () => {
  const started = host = await startCrowdedHost(limits, hostIndex++)
  const chunks = (jobBody + ' '.repeat(maxBodyBytes - Buffer.byteLength(jobBody))).replace(/./g, byte => `1\r\n${byte}\r\n`)
  // The time limit of the call must not decide the test on a slow machine.
  const answer = await exchange(started.ip, callersPort, `${submissionHead}Deadline-Ms: 120000\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`)
  expect(answer.split('\r\n')[0]).toBe('HTTP/1.1 200 OK')
})

test('requests sent ahead are handled one after the other', async () => {
  const started = host = await startCrowdedHost(limits, hostIndex++)
  const closing = stateQuery.replace('User-Agent', 'Connection: close\r\nUser-Agent')
  const answer = await exchange(started.ip, callersPort, submission + stateQuery.replace('00c2', '00c1') + stateQuery + closing)
  expect(answer.match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 410', 'HTTP/1.1 410'])
})

/** Sends a text and returns all that is received until the host closes the connection. */
function exchange (ip: string, port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let received = ''
    const socket = connect(port, ip, () => { socket.write(text) })
    socket.on('data', chunk => { received += String(chunk) })
    socket.on('error', () => {})
    socket.once('close', () => { resolve(received) })
  })
}
