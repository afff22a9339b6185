package org.guavahatch.cli.process

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Open connections between processes go silent for good while new ones work. Requests in flight finish all the same.
 */
class SilentConnectionTest {
    private val proxies = mutableListOf<SilencingProxy>()
    private val frostFleece = FrostFleece {
        listedPort = { port -> SilencingProxy(port).also { proxies += it }.listedPort }
    }

    @AfterTest
    fun stop() {
        frostFleece.close()
        proxies.forEach { it.close() }
    }

    @Test
    fun `requests in flight are attached to the new connection and answered`() {
        frostFleece.load("warm-up").get()
        Silence.entries.forEach { silence ->
            val load = frostFleece.load("silent-${silence.name.lowercase()}")
            repeat(3) {
                Thread.sleep(1800)
                proxies.forEach { proxy -> proxy.silence(silence) }
            }
            val result = load.get()
            println("$silence: ${result.total} ${result.reasons}")
            assertEquals(emptyList(), result.wrong, silence.name)
            assertEquals(result.total.sent, result.total.answered, "$silence: ${result.reasons}")
        }
    }
}
