/** Commands that run a node or a stand-in until the process ends. */
package org.heatherhaven.cli.run;
