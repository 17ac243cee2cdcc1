package gentiandale.bench.capacity

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import java.util.Locale

/** Fits a line to `size,value` records read from standard input and extrapolates it to a target size. */
internal class FitCommand : CliktCommand(name = "fit") {
    private val name by option("--name", help = "Name of the measured value in the output.").required()
    private val unit by option("--unit", help = "Unit of the value.").default("")
    private val target by option("--at", help = "Size to extrapolate the line to.").double().required()

    override fun help(context: Context): String =
        "Fits a line to `size,value` records on standard input and extrapolates it to a target size."

    override fun run() {
        val samples = generateSequence(::readlnOrNull).filter { it.isNotBlank() }.map(::parseSample).toList()
        val fit = LinearFit.of(samples)
            ?: throw UsageError("A fit needs samples of at least ${LinearFit.MIN_SIZES} distinct sizes.")
        echo(
            "%s: slope %.4g %s, intercept %.4g, R2 %.4f, sizes %.4g to %.4g; at %.4g: %.4g %s, factor %.1f".format(
                Locale.ROOT,
                name,
                fit.slope,
                unit,
                fit.intercept,
                fit.rSquared,
                samples.minOf { it.size },
                fit.largestSize,
                target,
                fit.valueAt(target),
                unit,
                fit.extrapolationFactor(target),
            ),
        )
    }

    private fun parseSample(line: String): Sample {
        val fields = line.split(',')
        val size = fields.firstOrNull()?.trim()?.toDoubleOrNull()
        val value = fields.getOrNull(1)?.trim()?.toDoubleOrNull()
        if (size == null || value == null) throw UsageError("Invalid line '$line': expected two numbers size,value.")
        return Sample(size, value)
    }
}
