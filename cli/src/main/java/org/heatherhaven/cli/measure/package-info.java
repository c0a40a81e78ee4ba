/** Commands that measure, and the demo. */
package org.heatherhaven.cli.measure;
