package org.guavahatch.model.check

/**
 * One thing that is wrong with a document.
 *
 * @property path where it is, in the form `$.endpointPools[0].name`
 * @property value what stands there, as text
 * @property message a whole sentence that says what is allowed
 */
public data class Problem(public val path: String, public val value: String, public val message: String) {
    override fun toString(): String = "$path: $message (found: $value)"
}
