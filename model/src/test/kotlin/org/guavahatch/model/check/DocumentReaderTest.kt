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
        Case("object instead of list", """{"tiers": {}}""", "$.tiers", "Expected a list."),
        Case(
            "string instead of number",
            """{"tiers": [{"name": "a", "rank": "b"}]}""",
            "$.tiers[0].rank",
            "Expected a whole number.",
        ),
        Case(
            "number instead of string",
            """{"tiers": [{"name": 1, "rank": 0}]}""",
            "$.tiers[0].name",
            "Expected a string in quotation marks.",
        ),
        Case(
            "unknown enum value",
            """{"endpointPools": [{"kind": "disk"}]}""",
            "$.endpointPools[0].kind",
            "model, application",
        ),
    )

    private fun read(text: String) = DocumentReader.read("test.jsonc", text, ConfigurationSet.serializer())

    @Test
    fun `each problem reports its path and allowed values`() {
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
    fun `a syntax problem reports its line`() {
        val error = read("{\n\n  \"tiers\": [}\n}").leftOrNull()
        assertEquals("line 3", error?.problems?.single()?.value)
    }

    @Test
    fun `comments and trailing commas are accepted`() {
        val text = """{ /* a */ "tiers": [], "clientAccounts": [], "endpointPools": [], "routes": [], } // b"""
        assertNotNull(read(text).getOrNull(), read(text).leftOrNull().toString())
    }

    @Test
    fun `the reader throws no exception for corrupted text`() {
        val random = Random(1)
        val validText = """{"tiers":[{"name":"a","rank":0}],"clientAccounts":[],"endpointPools":[],"routes":[]}"""
        repeat(20_000) {
            val text = StringBuilder(validText)
            repeat(random.nextInt(1, 6)) {
                val position = random.nextInt(text.length)
                if (random.nextBoolean()) {
                    text.deleteCharAt(position)
                } else {
                    text.setCharAt(position, REPLACEMENT_CHARACTERS.random(random))
                }
            }
            ConfigurationReader.read("fuzz", text.toString())
        }
    }

    private companion object {
        const val REPLACEMENT_CHARACTERS = "{}[]\",:0-.eE/*tfn \\u\n"
    }
}
