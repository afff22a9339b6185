package org.guavahatch.coordination.publication

import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.ContentHash
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AppliedConfigurationTest {
    private fun version(number: Long) =
        ConfigurationVersion(number, ContentHash.of(ConfigurationSamples.text("pool-$number")))

    private fun AppliedConfiguration.applyNumber(number: Long) =
        apply(version(number), ConfigurationSamples.text("pool-$number")).getOrNull()

    @Test
    fun `the version only increases, regardless of the order of arrival`() {
        val cases = listOf(
            listOf(1L, 2L, 3L) to listOf(true, true, true),
            listOf(3L, 2L, 1L) to listOf(true, false, false),
            listOf(1L, 1L, 2L) to listOf(true, false, true),
            listOf(2L, 1L, 3L) to listOf(true, false, true),
        )
        cases.forEach { (numbers, expected) ->
            val applied = AppliedConfiguration()
            assertEquals(expected, numbers.map { applied.applyNumber(it) }, "order $numbers")
            assertEquals(numbers.max(), applied.version.number)
        }
    }

    @Test
    fun `a text with a different hash is rejected and the error names the expected hash`() {
        val applied = AppliedConfiguration()
        val error = applied.apply(version(1), ConfigurationSamples.text("pool-2")).leftOrNull()
        assertEquals("$", error?.problems?.single()?.path)
        assertTrue(version(1).contentHash in error?.problems?.single()?.message.orEmpty())
        assertEquals(ConfigurationVersion.NONE, applied.version)
    }
}
