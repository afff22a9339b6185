package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerTableTest {
    private class Case(val name: String, val reports: List<PeerReport>, val used: List<Map<String, Long>?>)

    private val cases = listOf(
        Case(
            "use is counted from the first message",
            listOf(report(1, 100), report(2, 130)),
            listOf(emptyMap(), use(30)),
        ),
        Case(
            "use is counted across a message without accounts",
            listOf(report(1, 100), report(2, null), report(3, 150)),
            listOf(emptyMap(), use(0), use(50)),
        ),
        Case(
            "messages before the first with accounts are dropped",
            listOf(report(1, null), report(2, 100), report(3, 120)),
            listOf(null, emptyMap(), use(20)),
        ),
        Case(
            "changed use replaces that of the last complete message",
            listOf(report(1, 100), report(2, null, changed = 130), report(3, null), report(4, null, changed = 135)),
            listOf(emptyMap(), use(30), use(0), use(5)),
        ),
        Case(
            "a lost message with changed use is made up for by the next complete one",
            listOf(report(1, 100), report(3, null, changed = 130), report(5, 160)),
            listOf(emptyMap(), use(30), use(30)),
        ),
        Case(
            "changed use before a complete message of the same incarnation is not counted",
            listOf(report(5, 100), report(1, null, incarnation = "b", changed = 30), report(2, 40, incarnation = "b")),
            listOf(emptyMap(), null, use(40)),
        ),
        Case("older messages are dropped", listOf(report(2, 100), report(1, 90)), listOf(emptyMap(), null)),
        Case(
            "all use that a restarted peer reports is counted",
            listOf(report(5, 100), report(1, null, incarnation = "b"), report(2, 40, incarnation = "b")),
            listOf(emptyMap(), null, use(40)),
        ),
    )

    @Test
    fun `use of peers is counted once`() = cases.forEach { case ->
        val peers = PeerTable(StoppedClock, silenceMilliseconds = 1_000)
        assertEquals(case.used, case.reports.map(peers::processReport), case.name)
    }

    private class WaitingCase(val name: String, val order: Int, val withHigherPriority: Int, val withWaiting: Int)

    private val waitingCases = listOf(
        WaitingCase(
            "the highest rank yields to none and shares with its equals",
            order = 0,
            withHigherPriority = 0,
            withWaiting = 2,
        ),
        WaitingCase(
            "the next rank yields to the highest and shares with both",
            order = 1,
            withHigherPriority = 3,
            withWaiting = 3,
        ),
        WaitingCase(
            "the lowest rank yields to both",
            order = 2,
            withHigherPriority = 5,
            withWaiting = 3,
        ),
    )

    @Test
    fun `free slots are reserved for higher ranks of peers`() {
        val peers = PeerTable(StoppedClock, silenceMilliseconds = 1_000)
        peers.processReport(report(1, 0, waiting = WaitingReport(order = 0, requests = 3)))
        peers.processReport(report(1, 0, name = "gateway-3", waiting = WaitingReport(order = 1, requests = 2)))
        peers.processReport(report(1, 0, name = "gateway-4", waiting = null))
        waitingCases.forEach { case ->
            val waiting = peers.waitingWithHigherPriority("pool", case.order)
            assertEquals(case.withHigherPriority, waiting, "${case.name}, requests with higher priority")
            val gateways = peers.gatewaysWithWaiting("pool", case.order)
            assertEquals(case.withWaiting, gateways, "${case.name}, gateways with waiting requests")
        }
    }

    private fun use(units: Long) = mapOf("shop" to units)

    private fun report(
        sequence: Long,
        used: Long?,
        incarnation: String = "a",
        name: String = "gateway-2",
        waiting: WaitingReport? = null,
        changed: Long? = null,
    ) = PeerReport(
        name = name,
        incarnation = incarnation,
        sequence = sequence,
        load = emptyMap(),
        configurationVersion = 1,
        accounts = used?.let { AccountReport(levels = use(0), use = use(it)) },
        waiting = waiting?.let { mapOf("pool" to it) }.orEmpty(),
        changedUse = changed?.let(::use).orEmpty(),
    )

    private object StoppedClock : Clock {
        override fun monotonicMilliseconds() = 0L

        override fun wallMilliseconds() = 0L
    }
}
