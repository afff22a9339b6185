package org.guavahatch.model.check

import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class DocumentReaderTest {
    private class Case(val name: String, val text: String, val path: String, val message: String)

    private val cases = listOf(
        Case("syntax", "{\n\"tiers\": [", "$", "not JSON with comments"),
        Case("unknown field", """{"tires": []}""", "$.tires", "Unknown field 'tires'. Known fields are: tiers"),
        Case("missing field", """{}""", "$.tiers", "'tiers' is required"),
        Case("wrong kind", """{"tiers": {}}""", "$.tiers", "A list is needed here"),
        Case("text for number", """{"tiers": [{"name": "a", "rank": "b"}]}""", "$.tiers[0].rank", "whole number"),
        Case("number for text", """{"tiers": [{"name": 1, "rank": 0}]}""", "$.tiers[0].name", "quotation marks"),
        Case(
            "unknown value",
            """{"endpointPools": [{"kind": "disk"}]}""",
            "$.endpointPools[0].kind",
            "model, application",
        ),
    )

    private fun read(text: String) = DocumentReader.read("test.jsonc", text, ConfigurationSet.serializer())

    @Test
    fun `each problem has its path and what is allowed`() {
        cases.forEach { case ->
            val error = assertNotNull(read(case.text).leftOrNull(), case.name)
            assertEquals("test.jsonc", error.source, case.name)
            assertNotNull(
                error.problems.find {
                    it.path == case.path && case.message in it.message
                },
                "${case.name}: $error",
            )
        }
    }

    @Test
    fun `syntax problems name their line`() {
        val error = read("{\n\n  \"tiers\": [}\n}").leftOrNull()
        assertEquals("line 3", error?.problems?.single()?.value)
    }

    @Test
    fun `comments and trailing commas are allowed`() {
        val text = """{ /* a */ "tiers": [], "clientAccounts": [], "endpointPools": [], "routes": [], } // b"""
        assertNotNull(read(text).getOrNull(), read(text).leftOrNull().toString())
    }

    @Test
    fun `no text makes the reader fail`() {
        val random = Random(1)
        val seedText = """{"tiers":[{"name":"a","rank":0}],"clientAccounts":[],"endpointPools":[],"routes":[]}"""
        repeat(20_000) {
            val text = StringBuilder(seedText)
            repeat(random.nextInt(1, 6)) {
                val at = random.nextInt(text.length)
                if (random.nextBoolean()) text.deleteCharAt(at) else text.setCharAt(at, CHARACTERS.random(random))
            }
            ConfigurationReader.read("fuzz", text.toString())
        }
    }

    private companion object {
        const val CHARACTERS = "{}[]\",:0-.eE/*tfn \\u\n"
    }
}
