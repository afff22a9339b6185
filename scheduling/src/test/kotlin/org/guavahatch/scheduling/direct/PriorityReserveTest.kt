package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals

class PriorityReserveTest {
    /**
     * @property waitingElsewhere requests with order 0 that wait for a slot at another gateway
     * @property arrivals requests with order 0 that arrive every 10 ms at this gateway
     * @property unusable free slots that a request with order 1 must leave to others
     */
    private class Case(val name: String, val waitingElsewhere: Int, val arrivals: Int, val unusable: Int)

    private val cases = listOf(
        Case("without higher ranks every slot may be used", waitingElsewhere = 0, arrivals = 0, unusable = 0),
        Case("slots are left to higher ranks that wait elsewhere", waitingElsewhere = 3, arrivals = 0, unusable = 3),
        // Two gateways report every 40 ms, so each expects four arrivals until then.
        Case("slots are left to higher ranks that will arrive", waitingElsewhere = 0, arrivals = 1, unusable = 8),
        Case("slots are left to both", waitingElsewhere = 3, arrivals = 1, unusable = 11),
        Case("an eighth of the slots at most is left", waitingElsewhere = 0, arrivals = 10, unusable = SLOTS / 8),
    )

    @Test
    fun `lower ranks leave free slots to higher ones`() = cases.forEach { case ->
        val clock = ManualClock()
        val peers = PeerTable(clock, silenceMilliseconds = 60_000)
        val reserve = PriorityReserve("pool", peers, clock)
        peers.setMembers(setOf("gateway-2"))
        peers.processReport(report(case.waitingElsewhere))
        repeat(2_000) {
            clock.advance(10)
            repeat(case.arrivals) { reserve.recordArrival(order = 0) }
        }
        val unusable = (0..SLOTS).last { !reserve.mayUse(freeSlots = it, slots = SLOTS, order = 1) }
        assertEquals(case.unusable, unusable, case.name)
        assertEquals(true, reserve.mayUse(freeSlots = 1, slots = SLOTS, order = 0), "${case.name}, the highest rank")
    }

    private fun report(waiting: Int) = PeerReport(
        name = "gateway-2",
        incarnation = "a",
        sequence = 1,
        load = emptyMap(),
        configurationVersion = 1,
        accounts = AccountReport(emptyMap(), emptyMap()),
        waiting = if (waiting > 0) mapOf("pool" to WaitingReport(order = 0, requests = waiting)) else emptyMap(),
    )

    private companion object {
        const val SLOTS = 200
    }
}
