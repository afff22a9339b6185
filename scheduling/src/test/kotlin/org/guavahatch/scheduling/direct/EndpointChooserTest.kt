package org.guavahatch.scheduling.direct

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class EndpointChooserTest {
    private class Case(
        val name: String,
        val expected: String?,
        val now: Long = 0,
        val request: WaitingRequest = waitingRequest(1),
        val prepare: (EndpointState, EndpointState) -> Unit,
    )

    private val cases = listOf(
        Case("the emptier endpoint", "b") { a, _ -> repeat(3) { a.noteSent(1_000) } },
        Case("the one with less to prefill", "b") { a, b ->
            a.noteSent(20_000)
            b.noteSent(100)
            b.noteSent(100)
        },
        Case("the faster one", "b") { a, b ->
            a.notePace(40.0)
            b.notePace(10.0)
        },
        Case("not one whose batch is full, counting peers", "b") { a, b ->
            a.peerRequests = 8
            b.peerRequests = 7
        },
        Case("not one that tells of a full batch", "b", now = 100) { a, _ -> a.notePresent(8, 0) },
        Case("one that told of a full batch long ago", "a", now = 600) { a, b ->
            a.notePresent(8, 0)
            b.peerRequests = 8
        },
        Case("not one of which this gateway has its part", "b") { a, b ->
            a.ownLimit = 0
            b.noteSent(5_000)
        },
        Case("none while all batches are full", null) { a, b ->
            a.peerRequests = 8
            b.peerRequests = 8
        },
        Case("not one that is leaving", "b") { a, _ -> a.isClosed = true },
        Case("not one that refused a moment ago", "b") { a, _ -> a.noteFull(0) },
        Case("not one whose address another process has", "b", now = 999) { a, _ -> a.noteReplaced(0) },
        Case("not one that cannot be reached", "b", now = 150) { a, _ -> a.noteFailure(0, isUnreachable = true) },
        Case("not one that fails often", "b") { a, _ -> repeat(2) { a.noteFailure(0, isUnreachable = false) } },
    )

    /** At `a` events come each 50 ms, at `b` each 20 ms and all slots are taken; an event is three tokens. */
    private val slowAndFull: (EndpointState, EndpointState) -> Unit = { a, b ->
        a.notePace(50.0)
        b.notePace(20.0)
        listOf(a, b).forEach { it.noteLength(estimatedTokens = 30, events = 10) }
        b.peerRequests = 8
    }

    private fun answerOf(tokens: Long) = waitingRequest(1).copy(estimatedTokens = tokens)

    private val lengthCases = listOf(
        Case("a short answer takes the slow endpoint", "a", request = answerOf(100), prepare = slowAndFull),
        Case("one that the slow endpoint may not finish waits", null, request = answerOf(250), prepare = slowAndFull),
        Case("soon refused, it takes its chance", "a", now = 1_700, request = answerOf(250), prepare = slowAndFull),
        Case("but not if it has none", null, now = 1_700, request = answerOf(300), prepare = slowAndFull),
        Case("one that nobody can finish waits for a fast endpoint", null, 0, answerOf(3_000), slowAndFull),
        Case("and takes it when it is free", "b", request = answerOf(3_000)) { a, b ->
            slowAndFull(a, b)
            b.peerRequests = 0
        },
        Case("a broken-off stream does not wait", "a", 0, answerOf(3_000).apply { hasBegun = true }, slowAndFull),
        Case("nor one of which nothing is told", "a", prepare = slowAndFull),
    )

    @Test
    fun `a request goes where its first token is expected soonest`() = check(cases)

    @Test
    fun `a long answer is not sent where it cannot be finished in time`() = check(lengthCases)

    private fun check(cases: List<Case>) = cases.forEach { case ->
        repeat(20) { seed ->
            val (a, b) = endpointState("a") to endpointState("b")
            case.prepare(a, b)
            val chosen = SoonestFirstToken(Random(seed), "a").choose(case.request, listOf(a, b), case.now)
            assertEquals(case.expected, chosen?.listed?.id?.value, "${case.name}, seed $seed")
        }
    }

    @Test
    fun `an endpoint that failed the request is taken again only if there is no other`() {
        val (a, b) = endpointState("a") to endpointState("b")
        val request = waitingRequest(1).apply { avoided.add(a.listed.id) }
        val chooser = SoonestFirstToken(Random(1), "a")
        assertEquals("b", chooser.choose(request, listOf(a, b), 0)?.listed?.id?.value)
        assertEquals("a", chooser.choose(request, listOf(a), 0)?.listed?.id?.value)
    }
}
