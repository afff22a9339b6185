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
        Case("the emptier endpoint", "b") { a, _ -> repeat(3) { a.recordSent(1_000) } },
        Case("the one with less to prefill", "b") { a, b ->
            a.recordSent(20_000)
            b.recordSent(100)
            b.recordSent(100)
        },
        Case("the faster one", "b") { a, b ->
            a.recordPace(40.0)
            b.recordPace(10.0)
        },
        Case("not one whose batch is full, counting peers", "b") { a, b ->
            a.peerRequests = 8
            b.peerRequests = 7
        },
        Case("not one that reports a full batch", "b", now = 100) { a, _ -> a.recordReportedRequests(8, 0) },
        Case("one whose report of a full batch has expired", "a", now = 600) { a, b ->
            a.recordReportedRequests(8, 0)
            b.peerRequests = 8
        },
        Case("not one where this gateway has used up its share", "b") { a, b ->
            a.ownRequestLimit = 0
            b.recordSent(5_000)
        },
        Case("none while all batches are full", null) { a, b ->
            a.peerRequests = 8
            b.peerRequests = 8
        },
        Case("not one that is leaving", "b") { a, _ -> a.listed = a.listed.copy(isLeaving = true) },
        Case("not one that has announced that it leaves", "b") { a, _ -> a.recordLeaving() },
        Case("not one that is gone", "b") { a, _ -> a.isRemoved = true },
        Case("not one that wants no requests for now", "b") { a, _ -> a.recordPause(0, 1_000) },
        Case("not one that has just refused a request", "b") { a, _ -> a.recordFull(0) },
        Case("not one whose address is taken by another process", "b", now = 999) { a, _ -> a.recordReplaced(0) },
        Case("not one that cannot be reached", "b", now = 150) { a, _ -> a.recordFailure(0, isUnreachable = true) },
        Case("not one that fails often", "b") { a, _ -> repeat(2) { a.recordFailure(0, isUnreachable = false) } },
    )

    /** `a` sends an event of three tokens every 50 ms; `b` sends one every 20 ms and has no free slot. */
    private val slowAndFull: (EndpointState, EndpointState) -> Unit = { a, b ->
        a.recordPace(50.0)
        b.recordPace(20.0)
        listOf(a, b).forEach { it.recordLength(estimatedTokens = 30, events = 10) }
        b.peerRequests = 8
    }

    private fun withEstimate(tokens: Long) = waitingRequest(1).copy(estimatedTokens = tokens)

    private val lengthCases = listOf(
        Case("a short answer goes to the slow endpoint", "a", request = withEstimate(100), prepare = slowAndFull),
        Case(
            "one that the slow endpoint may not complete waits",
            null,
            request = withEstimate(250),
            prepare = slowAndFull,
        ),
        Case("it goes there at last if the estimate fits", "a", 1_700, withEstimate(250), slowAndFull),
        Case("but not if the estimate does not fit", null, 1_700, withEstimate(300), slowAndFull),
        Case("one that no endpoint can complete waits for a fast one", null, 0, withEstimate(3_000), slowAndFull),
        Case("and goes there when it has a free slot", "b", request = withEstimate(3_000)) { a, b ->
            slowAndFull(a, b)
            b.peerRequests = 0
        },
        Case(
            "an interrupted stream does not wait",
            "a",
            0,
            withEstimate(3_000).apply { hasAnswerBegun = true },
            slowAndFull,
        ),
        Case("nor a request without an estimate", "a", prepare = slowAndFull),
    )

    @Test
    fun `a request goes to the endpoint with the earliest expected first token`() = check(cases)

    @Test
    fun `a long answer is not sent to an endpoint that cannot complete it in time`() = check(lengthCases)

    private fun check(cases: List<Case>) = cases.forEach { case ->
        repeat(20) { seed ->
            val (a, b) = endpointState("a") to endpointState("b")
            case.prepare(a, b)
            val chosen = EarliestFirstTokenChooser(Random(seed), "a").choose(case.request, listOf(a, b), case.now)
            assertEquals(case.expected, chosen?.listed?.id?.value, "${case.name}, seed $seed")
        }
    }

    @Test
    fun `an endpoint that failed the request is chosen again only if there is no other`() {
        val (a, b) = endpointState("a") to endpointState("b")
        val request = waitingRequest(1).apply { avoidedEndpoints.add(a.listed.id) }
        val chooser = EarliestFirstTokenChooser(Random(1), "a")
        assertEquals("b", chooser.choose(request, listOf(a, b), 0)?.listed?.id?.value)
        assertEquals("a", chooser.choose(request, listOf(a), 0)?.listed?.id?.value)
    }
}
