package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class ConnectionReuseTest {
    @Test
    fun `connections to an endpoint that sends more than its answers carry one request each for some time`() {
        val reuse = ConnectionReuse()
        assertEquals(true, reuse.isAllowed(0), "before any")
        reuse.recordUnexpectedBytes(1_000)
        reuse.recordUnexpectedBytes(3_000)
        listOf(1_000L to false, 12_999L to false, 13_000L to true).forEach { (now, expected) ->
            assertEquals(expected, reuse.isAllowed(now), "at $now")
        }
    }
}
