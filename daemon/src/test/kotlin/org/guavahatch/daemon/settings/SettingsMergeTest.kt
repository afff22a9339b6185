package org.guavahatch.daemon.settings

import arrow.core.Either
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.guavahatch.gateway.settings.RolloutSettings
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsMergeTest {
    private class Case(val name: String, val file: String, val overlay: String?, val merged: String)

    private val merges = listOf(
        Case("absent", """{"a":1}""", null, """{"a":1}"""),
        Case("empty", """{"a":1}""", "", """{"a":1}"""),
        Case("blank", """{"a":1}""", " ", """{"a":1}"""),
        Case("empty object", """{"a":1}""", "{}", """{"a":1}"""),
        Case("comments in the file", "{ // one\n \"a\":1}", """{"b":2}""", """{"a":1,"b":2}"""),
        Case("nested", """{"a":{"b":1,"c":2}}""", """{"a":{"c":3}}""", """{"a":{"b":1,"c":3}}"""),
        Case("new object", """{"a":1}""", """{"r":{"s":0.1}}""", """{"a":1,"r":{"s":0.1}}"""),
        Case("list replaced", """{"a":[1,2]}""", """{"a":[3]}""", """{"a":[3]}"""),
        Case("object for a value", """{"a":1}""", """{"a":{"b":2}}""", """{"a":{"b":2}}"""),
        Case("value for an object", """{"a":{"b":2}}""", """{"a":1}""", """{"a":1}"""),
        Case("null", """{"a":{"b":2}}""", """{"a":null}""", """{"a":null}"""),
    )

    @Test
    fun `a setting of the variable replaces exactly the one of the file`() = merges.forEach { case ->
        val merged = SettingsMerge.merge("file", case.file, case.overlay)
        assertEquals<JsonElement?>(Json.parseToJsonElement(case.merged), merged.getOrNull(), case.name)
    }

    @Test
    fun `text that is not a JSON object is refused with the name of the variable`() {
        listOf("[]", "1", "null", "x", "{", "{} {}").forEach { overlay ->
            val error = assertIs<Either.Left<*>>(SettingsMerge.merge("file", "{}", overlay), overlay)
            assertTrue(error.value.toString().startsWith("GATEWAY_SETTINGS: "), error.value.toString())
        }
    }

    @Test
    fun `a wrong value in the variable is refused with the name of the variable instead of an exception`() {
        val file = createTempFile().apply { writeText(SETTINGS) }
        val accepted = GatewaySettingsReader("""{"rollouts":$ROLLOUTS}""").read(file)
        assertEquals(RolloutSettings(0.1, 50, 5_000), accepted.getOrNull()?.rollouts)
        listOf("""{"rollouts":{"exposureShare":2,"exposureSlack":50,"rollbackMilliseconds":5000}}""", """{"zone":[]}""")
            .forEach { overlay ->
                val error = assertIs<Either.Left<*>>(GatewaySettingsReader(overlay).read(file), overlay)
                assertTrue("GATEWAY_SETTINGS" in error.value.toString(), error.value.toString())
            }
    }

    private companion object {
        const val ROLLOUTS = """{"exposureShare":0.1,"exposureSlack":50,"rollbackMilliseconds":5000}"""
        const val SETTINGS = """{"name":"g","zone":"a","callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
            "control":"127.0.0.1:3","store":{"address":"127.0.0.1:4"},
            "configuration":{"applyMilliseconds":2000,"revocationMilliseconds":5000},
            "retries":{"perRequest":0.2,"fixed":50,"windowSeconds":10},"stop":{"graceSeconds":8},
            "endpoints":{"drainMilliseconds":2000}}"""
    }
}
